/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.request;

import java.util.concurrent.TimeUnit;
import org.larkkeel.effect.Effect;
import org.larkkeel.event.CancelOutcome;
import org.larkkeel.event.Event;
import org.larkkeel.http.upstream.EngineClient;
import org.larkkeel.http.upstream.UpstreamAddress;
import org.larkkeel.lib.AttemptId;

/**
 * Cancels attempts, so that upstreams free what they hold for them.
 *
 * <p>A service has no cancel call, so there the connection is closed, and the cancel counts as
 * acknowledged. Safe for use by several threads.
 */
final class Canceller {
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final RequestTable table;
  private final Attempts attempts;

  Canceller(RequestTable table, Attempts attempts) {
    this.table = table;
    this.attempts = attempts;
  }

  void cancel(Effect.Cancel e) {
    RequestRecord request = table.find(e.request()).orElse(null);
    if (request instanceof CompletionRecord completion) {
      completion.dropFurtherTokens(e.attempt());
    }
    attempts.abort(e.attempt());
    if (attempts.addresses().isService(e.upstream())) {
      submitSettled(e.attempt(), CancelOutcome.ACKNOWLEDGED);
      return;
    }
    UpstreamAddress address = attempts.addresses().find(e.upstream()).orElse(null);
    if (address == null) {
      submitSettled(e.attempt(), CancelOutcome.FAILED);
      return;
    }
    attempts
        .engines()
        .cancel(
            address,
            attempts.engineRequestId(e.attempt()).toString(),
            TIMEOUT_NANOS,
            new EngineClient.JsonCallback(
                answer -> submitSettled(e.attempt(), CancelOutcome.ACKNOWLEDGED),
                f -> submitSettled(e.attempt(), CancelOutcome.FAILED)));
  }

  private void submitSettled(AttemptId attempt, CancelOutcome outcome) {
    attempts.submit(at -> new Event.CancelSettled(at, attempt, outcome));
  }
}
