/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.function.Consumer;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayFact;

/**
 * Whether calls may be admitted by what was read from the store.
 *
 * <p>After the event loop was held up, changes may have been missed however recently the watches
 * were in order, and calls are read before the answers of the store are. The state is read again
 * then. If the store does not answer, other nodes tell of changes; without any word, the last state
 * is used as during every outage. While a newer configuration is known to other nodes and not to
 * this one, no call is admitted: any answer might be that of a rule that is gone.
 *
 * <p>Invariant: a request to read the state again is only answered by the result of that request.
 * Not thread-safe.
 */
final class StateConfirmation {
  /** The maximum time for which calls are refused until the store has answered. */
  private static final long MAX_WAIT_NANOS = 2_000_000_000L;

  private final Timers timers;
  private final Consumer<RelayEffect> effects;
  private long lastNumber;
  private boolean awaited;
  private boolean behind;
  private long doubtedAt;

  StateConfirmation(Timers timers, Consumer<RelayEffect> effects) {
    this.timers = timers;
    this.effects = effects;
  }

  /** Returns whether the state is in no doubt. */
  boolean isTrusted() {
    return !awaited && !behind;
  }

  /** Returns why the state is in doubt, for the detail of a refusal. */
  String detail() {
    return behind
        ? "other nodes have a newer configuration"
        : "the node was held up and reads its configuration again";
  }

  /** Handles the end of a stall: requests to read the state again. */
  void stalled(long at) {
    beginDoubt(at, RelayFact.StateDoubted.Cause.STALLED);
    awaited = true;
    lastNumber++;
    effects.accept(new RelayEffect.ConfirmState(lastNumber));
    timers.add(new Timers.Timer.ConfirmationTimeout(at + MAX_WAIT_NANOS, lastNumber));
  }

  /** Handles the answer to a request. */
  void confirmed(long at, long number) {
    if (awaited && number == lastNumber) {
      awaited = false;
      endDoubt(at, RelayFact.StateTrusted.Result.CONFIRMED);
    }
  }

  /** Handles the timeout of a request. */
  void timedOut(long at, long number) {
    if (awaited && number == lastNumber) {
      awaited = false;
      endDoubt(at, RelayFact.StateTrusted.Result.TIMED_OUT);
    }
  }

  /** Sets whether other nodes know of a newer configuration. */
  void setBehind(long at, boolean isBehind) {
    if (isBehind == behind) {
      return;
    }
    if (isBehind) {
      beginDoubt(at, RelayFact.StateDoubted.Cause.BEHIND);
    }
    behind = isBehind;
    if (!isBehind) {
      endDoubt(at, RelayFact.StateTrusted.Result.CONFIRMED);
    }
  }

  private void beginDoubt(long at, RelayFact.StateDoubted.Cause cause) {
    if (isTrusted()) {
      doubtedAt = at;
    }
    report(new RelayFact.StateDoubted(cause));
  }

  private void endDoubt(long at, RelayFact.StateTrusted.Result result) {
    if (isTrusted()) {
      report(new RelayFact.StateTrusted(result, at - doubtedAt));
    }
  }

  private void report(RelayFact fact) {
    effects.accept(new RelayEffect.Report(fact));
  }
}
