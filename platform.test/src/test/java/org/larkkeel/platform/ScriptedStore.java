/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A store on 127.0.0.1 whose items and events the test writes byte for byte. Lists have one page,
 * and an optional second one after any name. A watch returns the last events if it has not seen
 * them, or waits.
 *
 * <p>Safe for use by several threads.
 */
final class ScriptedStore implements AutoCloseable {
  private static final long WAIT_MILLIS = 100;

  final AtomicInteger lists = new AtomicInteger();
  final AtomicInteger watches = new AtomicInteger();
  private final RawServer server = new RawServer(this::answer);
  private volatile List<String> first = List.of();
  private volatile List<String> second = List.of();
  private volatile List<String> events = List.of();
  private volatile long revision = 100;

  String address() {
    return server.address();
  }

  /** Sets the items of the first page, each as sent. */
  void page(String... items) {
    first = List.of(items);
  }

  /** Sets the items of the second page, each as sent. */
  void secondPage(String... items) {
    second = List.of(items);
  }

  /** Sets the events of a new revision, each as sent. */
  synchronized void events(String... next) {
    events = List.of(next);
    revision++;
  }

  /** Returns a valid item. */
  static String item(String name, long revision) {
    return item(name, revision, "{\"slots\":1}");
  }

  static String item(String name, long revision, String spec) {
    return "{\"metadata\":{\"name\":\"%s\",\"revision\":%d},\"spec\":%s}"
        .formatted(name, revision, spec);
  }

  static String event(String object) {
    return "{\"tombstone\":false,\"object\":" + object + "}";
  }

  private void answer(RawServer.Request r, OutputStream out, Socket socket) throws Exception {
    if (r.target().contains("watch=")) {
      watches.incrementAndGet();
      write(out, watch(Long.parseLong(r.target().replaceAll(".*watch=(\\d+).*", "$1"))));
      return;
    }
    lists.incrementAndGet();
    boolean isFirst = !r.target().contains("after=");
    boolean more = isFirst && !second.isEmpty();
    String items = String.join(",", isFirst ? first : second);
    write(
        out, "{\"items\":[" + items + "],\"more_pages\":" + more + ",\"as_of\":" + revision + "}");
  }

  private String watch(long from) throws InterruptedException {
    if (from >= revision) {
      Thread.sleep(WAIT_MILLIS);
    }
    synchronized (this) {
      String unseen = from < revision ? String.join(",", events) : "";
      return "{\"events\":[" + unseen + "],\"as_of\":" + revision + "}";
    }
  }

  private static void write(OutputStream out, String body) throws IOException {
    int length = body.getBytes(StandardCharsets.ISO_8859_1).length;
    RawServer.write(
        out,
        "HTTP/1.1 200 X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
            .formatted(length, body));
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
