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
 * Frees what upstreams hold for attempts.
 *
 * <p>A service has no call to cancel with; closing the connection is all that can be done there.
 * Safe for use by several threads.
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
      completion.stop(e.attempt());
    }
    attempts.abort(e.attempt());
    if (attempts.addresses().isService(e.upstream())) {
      settle(e.attempt(), CancelOutcome.ACKNOWLEDGED);
      return;
    }
    UpstreamAddress address = attempts.addresses().find(e.upstream()).orElse(null);
    if (address == null) {
      settle(e.attempt(), CancelOutcome.FAILED);
      return;
    }
    attempts
        .engines()
        .cancel(
            address,
            attempts.wireId(e.attempt()).toString(),
            TIMEOUT_NANOS,
            new EngineClient.JsonCallback(
                answer -> settle(e.attempt(), CancelOutcome.ACKNOWLEDGED),
                f -> settle(e.attempt(), CancelOutcome.FAILED)));
  }

  private void settle(AttemptId attempt, CancelOutcome outcome) {
    attempts.tell(at -> new Event.CancelSettled(at, attempt, outcome));
  }
}
