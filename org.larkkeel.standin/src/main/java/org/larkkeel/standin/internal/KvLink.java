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
 * The link over which an engine imports KV caches; all imports of the engine share its rate.
 *
 * <p>Transfers no data, only waits for the time that the transfer would need. Safe for use by
 * several threads.
 *
 * @since 0.1
 */
final class KvLink {
  private static final Duration PROGRESS_INTERVAL = Duration.ofMillis(5);
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

  /** Imports a KV cache for a request; returns when the import has finished or failed. */
  void pull(EngineRequest request, KvParams source) throws InterruptedException {
    try {
      ExportAnswer export = sendStep(source, ExportStep.BEGIN);
      if (transfer(request, export.kvBytes())) {
        sendStep(source, ExportStep.DONE);
        state.finishImport(request);
      } else {
        sendStep(source, ExportStep.ABORT);
      }
    } catch (IOException | RefusedException e) {
      state.failImport(request);
    }
  }

  private boolean transfer(EngineRequest request, long bytes) throws InterruptedException {
    double bytesLeft = bytes;
    long last = System.nanoTime();
    while (bytesLeft > 0) {
      Thread.sleep(PROGRESS_INTERVAL);
      state.faults.gate.awaitOpen();
      if (state.isKilled()) {
        throw new InterruptedException("the engine was killed");
      }
      if (!state.isImporting(request)) {
        return false;
      }
      long now = System.nanoTime();
      if (!state.faults.transfersStalled) {
        double bytesPerSecond =
            state.settings.memory().linkBytesPerSecond() / (double) state.importingCount();
        bytesLeft -= bytesPerSecond * (now - last) / NANOS_PER_SECOND;
      }
      last = now;
    }
    return true;
  }

  private static ExportAnswer sendStep(KvParams source, ExportStep step)
      throws IOException, InterruptedException {
    ExportRequest message =
        new ExportRequest(step, source.remoteEngineId(), source.remoteBlockIds().getFirst());
    HttpRequest request =
        HttpRequest.newBuilder()
            .uri(exportsUri(source))
            .timeout(PEER_TIMEOUT)
            .POST(
                HttpRequest.BodyPublishers.ofByteArray(
                    EngineMessages.MAPPER.writeValueAsBytes(message)))
            .build();
    HttpResponse<byte[]> answer = CLIENT.send(request, HttpResponse.BodyHandlers.ofByteArray());
    if (answer.statusCode() != 200) {
      throw new RefusedException(410, "evicted", "the source answered " + answer.statusCode());
    }
    return EngineMessages.MAPPER.readValue(answer.body(), ExportAnswer.class);
  }

  private static URI exportsUri(KvParams source) {
    return URI.create(
        "http://" + source.remoteHost() + ":" + source.remotePort() + "/v1/kv/exports");
  }
}
