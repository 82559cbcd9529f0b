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
 * What callers are told in place of an upstream's answer.
 *
 * <p>Invariant: a caller is told that its call has not run only if no upstream may have run it. Not
 * safe for use by several threads.
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

  /** Ends a call with what is true of it: the kind if nothing may have run, a failure else. */
  void end(long at, CallState c, ErrorKind kind, long retryAfterMillis, String detail) {
    boolean mayHaveRun = c.runs > 0;
    ErrorKind told =
        mayHaveRun && kind.execution() == Execution.NOT_RUN ? ErrorKind.UPSTREAM_FAILED : kind;
    report(
        new RelayFact.Refused(
            c.call.wireId(),
            c.rule.name().value(),
            told,
            detail,
            c.began,
            c.sends,
            c.runs,
            at - c.arrivedAt));
    effects.accept(
        c.began
            ? new RelayEffect.Cut(c.call.id(), told)
            : new RelayEffect.Refuse(c.call.id(), told, mayHaveRun ? 0 : retryAfterMillis, detail));
  }

  private void report(RelayFact fact) {
    effects.accept(new RelayEffect.Report(fact));
  }
}
