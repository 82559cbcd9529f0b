/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.soak;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicIntegerArray;

/**
 * Polls the readiness of every node, as a load balancer in front of the nodes does.
 *
 * <p>Safe for use by several threads.
 */
final class ReadyNodes implements AutoCloseable {
  private static final Duration TIMEOUT = Duration.ofMillis(500);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(200);
  private static final int STATUS_READY = 200;

  private final ImmutableList<URI> nodes;
  private final AtomicIntegerArray ready;
  private final AtomicBoolean closed = new AtomicBoolean();
  private final HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();

  ReadyNodes(ImmutableList<URI> nodes) {
    this.nodes = nodes;
    ready = new AtomicIntegerArray(nodes.size());
    for (int i = 0; i < nodes.size(); i++) {
      int node = i;
      ready.set(node, 1);
      Thread.ofVirtual().start(() -> poll(node));
    }
  }

  /**
   * Returns the index of a ready node for the request with the given number, or of any node if none
   * is ready.
   */
  int first(int number) {
    for (int i = 0; i < nodes.size(); i++) {
      int node = (number + i) % nodes.size();
      if (ready.get(node) == 1) {
        return node;
      }
    }
    return number % nodes.size();
  }

  private void poll(int node) {
    HttpRequest request =
        HttpRequest.newBuilder(nodes.get(node).resolve("/readyz")).timeout(TIMEOUT).build();
    try {
      while (!closed.get()) {
        ready.set(node, isReady(request) ? 1 : 0);
        Thread.sleep(POLL_INTERVAL);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean isReady(HttpRequest request) throws InterruptedException {
    try {
      return client.send(request, BodyHandlers.discarding()).statusCode() == STATUS_READY;
    } catch (IOException e) {
      return false;
    }
  }

  @Override
  public void close() {
    closed.set(true);
  }
}
