/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.internal.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.store.HttpClientOptions;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.order.ModelVersion;
import org.larkkeel.store.order.PullResult;
import org.xnio.XnioWorker;

/** The weight store's API over HTTP. Thread-safe. */
public final class HttpWeightClient implements AutoCloseable {
  private static final String BASE = "/weights/v1/";
  private static final String PULLS = "/pulls";
  private static final String LATEST_VERSION = "latest";
  private static final ObjectMapper JSON = new ObjectMapper();

  private final HttpServiceClient client;

  /**
   * Creates a client of the weight store.
   *
   * @param options the address of the store, and limits
   * @param worker runs the I/O
   * @param scheduler completes the futures
   */
  public HttpWeightClient(HttpClientOptions options, XnioWorker worker, Scheduler scheduler) {
    this.client = new HttpServiceClient(options, worker, scheduler);
  }

  /** See {@link org.larkkeel.store.order.WeightStore#pull}. */
  public CompletableFuture<PullResult> pull(UpstreamName upstream, ModelVersion model) {
    String body =
        JsonNodeFactory.instance.objectNode().put("upstream", upstream.value()).toString();
    return client
        .call(new HttpRequestData(Methods.POST, path(model), body))
        .handle((reply, failure) -> failure == null ? result(reply) : new PullResult.Failed());
  }

  private static String path(ModelVersion model) {
    String version = model.version().equals(ModelVersion.ANY) ? LATEST_VERSION : model.version();
    return BASE + escape(model.model().value()) + "/" + escape(version) + PULLS;
  }

  private static String escape(String name) {
    return URLEncoder.encode(name, StandardCharsets.UTF_8);
  }

  private static PullResult result(HttpReply reply) {
    return switch (reply.status()) {
      case StatusCodes.ACCEPTED -> parsePull(reply);
      case StatusCodes.TOO_MANY_REQUESTS ->
          new PullResult.Throttled(HttpFailures.retryAfter(reply.header(Headers.RETRY_AFTER)));
      default -> new PullResult.Failed();
    };
  }

  private static PullResult parsePull(HttpReply reply) {
    try {
      JsonNode pull = JSON.readTree(reply.body());
      long rate = pull.path("bytesPerSecond").asLong();
      if (rate <= 0) {
        return new PullResult.Failed();
      }
      double seconds = pull.path("bytes").asLong() / (double) rate;
      return new PullResult.Started(
          Duration.ofNanos((long) (seconds * TimeUnit.SECONDS.toNanos(1))));
    } catch (IOException e) {
      return new PullResult.Failed();
    }
  }

  @Override
  public void close() {
    client.close();
  }
}
