/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.function.Consumer;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.Execution;
import org.larkkeel.relay.RelayCall;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayFact;

/**
 * Answers callers whose calls have no upstream's answer.
 *
 * <p>Invariant: a caller is told that its call has not run only if no upstream may have run it. Not
 * thread-safe.
 */
final class FinalAnswers {
  private final Consumer<RelayEffect> effects;

  FinalAnswers(Consumer<RelayEffect> effects) {
    this.effects = effects;
  }

  /** Refuses a call that was not admitted. */
  void refuse(RelayCall call, ErrorKind kind, long retryAfterMillis, String detail) {
    report(new RelayFact.Refused(call.wireId(), "", kind, detail, false, 0, 0, 0));
    effects.accept(new RelayEffect.Refuse(call.id(), kind, retryAfterMillis, detail));
  }

  /**
   * Ends a call with the given kind, or as a failure if the kind says that nothing has run but an
   * upstream may have run the call.
   */
  void end(long at, CallState c, ErrorKind kind, long retryAfterMillis, String detail) {
    boolean mayHaveRun = c.runCount > 0;
    ErrorKind reportedKind =
        mayHaveRun && kind.execution() == Execution.NOT_RUN ? ErrorKind.UPSTREAM_FAILED : kind;
    report(
        new RelayFact.Refused(
            c.call.wireId(),
            c.rule.name().value(),
            reportedKind,
            detail,
            c.streamBegan,
            c.attemptCount,
            c.runCount,
            at - c.arrivedAt));
    effects.accept(
        c.streamBegan
            ? new RelayEffect.Cut(c.call.id(), reportedKind)
            : new RelayEffect.Refuse(
                c.call.id(), reportedKind, mayHaveRun ? 0 : retryAfterMillis, detail));
  }

  private void report(RelayFact fact) {
    effects.accept(new RelayEffect.Report(fact));
  }
}
