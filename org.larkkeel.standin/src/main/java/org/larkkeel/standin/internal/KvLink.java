/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin.internal;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.larkkeel.standin.internal.EngineMessages.ExportAnswer;
import org.larkkeel.standin.internal.EngineMessages.ExportRequest;
import org.larkkeel.standin.internal.EngineMessages.ExportStep;
import org.larkkeel.standin.internal.EngineMessages.KvParams;

/**
 * The link over which an engine pulls KV caches; all imports share its rate.
 *
 * <p>No KV bytes are moved: the time they need is spent. Safe for use by several threads.
 *
 * @since 0.1
 */
final class KvLink {
  private static final Duration SLICE = Duration.ofMillis(5);
  private static final Duration PEER_TIMEOUT = Duration.ofSeconds(2);
  private static final double NANOS_PER_SECOND = 1e9;
  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(PEER_TIMEOUT)
          .build();

  private final EngineState state;

  KvLink(EngineState state) {
    this.state = state;
  }

  /** Pulls a KV cache for a request that is importing; returns when it is there or has failed. */
  void pull(EngineRequest request, KvParams source) throws InterruptedException {
    try {
      ExportAnswer export = ask(source, ExportStep.BEGIN);
      if (transfer(request, export.kvBytes())) {
        ask(source, ExportStep.DONE);
        state.finishImport(request);
      } else {
        ask(source, ExportStep.ABORT);
      }
    } catch (IOException | RefusedException e) {
      state.failImport(request);
    }
  }

  private boolean transfer(EngineRequest request, long bytes) throws InterruptedException {
    double left = bytes;
    long last = System.nanoTime();
    while (left > 0) {
      Thread.sleep(SLICE);
      state.faults.gate.pass();
      if (state.isDead()) {
        throw new InterruptedException("the engine was killed");
      }
      if (!state.isImporting(request)) {
        return false;
      }
      long now = System.nanoTime();
      if (!state.faults.stalled) {
        double share = state.settings.memory().linkBytesPerSecond() / (double) state.importing();
        left -= share * (now - last) / NANOS_PER_SECOND;
      }
      last = now;
    }
    return true;
  }

  private static ExportAnswer ask(KvParams source, ExportStep step)
      throws IOException, InterruptedException {
    ExportRequest message =
        new ExportRequest(step, source.remoteEngineId(), source.remoteBlockIds().getFirst());
    HttpRequest call =
        HttpRequest.newBuilder()
            .uri(exports(source))
            .timeout(PEER_TIMEOUT)
            .POST(
                HttpRequest.BodyPublishers.ofByteArray(
                    EngineMessages.MAPPER.writeValueAsBytes(message)))
            .build();
    HttpResponse<byte[]> answer = CLIENT.send(call, HttpResponse.BodyHandlers.ofByteArray());
    if (answer.statusCode() != 200) {
      throw new RefusedException(410, "evicted", "the source answered " + answer.statusCode());
    }
    return EngineMessages.MAPPER.readValue(answer.body(), ExportAnswer.class);
  }

  private static URI exports(KvParams source) {
    return URI.create(
        "http://" + source.remoteHost() + ":" + source.remotePort() + "/v1/kv/exports");
  }
}
