/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayFact;

/**
 * Whether calls may be admitted by what was read from the store.
 *
 * <p>After the event loop was held up, changes may have been missed however recently the watches
 * were in order, and calls are read before the answers of the store are. The state is read again
 * then. Meanwhile it is as old as the begin of the stall, or as the last request that the store has
 * answered since. While that is recent, calls are admitted: a change that was made later need not
 * be in force yet. So a node that is short of processor time goes on, and one that was suspended
 * waits for the store. If the store does not answer, other nodes tell of changes; without any word,
 * the last state is used as during every outage. While a newer configuration is known to other
 * nodes and not to this one, no call is admitted: any answer might be that of a rule that is gone.
 *
 * <p>Invariants: a request to read the state again is only answered by the result of that request;
 * while no request is awaited, the state is not overdue. Not thread-safe.
 */
final class StateConfirmation {
  /** The maximum wait for the answer of the store to a request. */
  private static final long MAX_WAIT_NANOS = 2_000_000_000L;

  /**
   * The age from which the state is too old to admit calls. A change must be in force 2 s after it
   * was made, and a call may wait before it is sent.
   */
  private static final long MAX_AGE_NANOS = 1_000_000_000L;

  private final Timers timers;
  private final Consumer<RelayEffect> effects;

  /** The times of the requests since the last confirmation, by their numbers. */
  private final NavigableMap<Long, Long> requestedAt = new TreeMap<>();

  private long lastNumber;
  private boolean awaited;

  /** The time of which the state is known, while a request is awaited. */
  private long asOf;

  private boolean overdue;
  private boolean behind;
  private long doubtedAt;

  StateConfirmation(Timers timers, Consumer<RelayEffect> effects) {
    this.timers = timers;
    this.effects = effects;
  }

  /** Returns whether calls may be admitted by the state. */
  boolean isTrusted(long at) {
    updateOverdue(at);
    return isTrusted();
  }

  /** Returns whether calls could be admitted by the state at the last event. */
  boolean isTrusted() {
    return !overdue && !behind;
  }

  private void updateOverdue(long at) {
    overdue = awaited && at - asOf >= MAX_AGE_NANOS;
  }

  private boolean isInDoubt() {
    return awaited || behind;
  }

  /** Returns why the state is in doubt, for the detail of a refusal. */
  String detail() {
    return behind
        ? "other nodes have a newer configuration"
        : "the node was held up and reads its configuration again";
  }

  /** Handles the end of a stall of some duration: requests to read the state again. */
  void stalled(long at, long nanos) {
    beginDoubt(at, RelayFact.StateDoubted.Cause.STALLED);
    if (!awaited) {
      asOf = at - nanos;
    }
    awaited = true;
    lastNumber++;
    requestedAt.put(lastNumber, at);
    effects.accept(new RelayEffect.ConfirmState(lastNumber));
    timers.add(new Timers.Timer.ConfirmationTimeout(at + MAX_WAIT_NANOS, lastNumber));
    reviewAge(at);
  }

  /** Handles the answer to a request. */
  void confirmed(long at, long number) {
    if (awaited && number == lastNumber) {
      endWait(at, RelayFact.StateTrusted.Result.CONFIRMED);
    } else if (awaited && requestedAt.containsKey(number)) {
      asOf = Math.max(asOf, requestedAt.get(number));
      requestedAt.headMap(number, true).clear();
      reviewAge(at);
    }
  }

  /** Handles the timeout of a request. */
  void timedOut(long at, long number) {
    if (awaited && number == lastNumber) {
      endWait(at, RelayFact.StateTrusted.Result.TIMED_OUT);
    }
  }

  private void endWait(long at, RelayFact.StateTrusted.Result result) {
    awaited = false;
    overdue = false;
    requestedAt.clear();
    endDoubt(at, result);
  }

  /** Handles the time at which the state may have become too old. */
  void ageReached(long at) {
    updateOverdue(at);
  }

  private void reviewAge(long at) {
    updateOverdue(at);
    if (!overdue) {
      timers.add(new Timers.Timer.ConfirmationOverdue(asOf + MAX_AGE_NANOS));
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
    if (!isInDoubt()) {
      doubtedAt = at;
    }
    report(new RelayFact.StateDoubted(cause));
  }

  private void endDoubt(long at, RelayFact.StateTrusted.Result result) {
    if (!isInDoubt()) {
      report(new RelayFact.StateTrusted(result, at - doubtedAt));
    }
  }

  private void report(RelayFact fact) {
    effects.accept(new RelayEffect.Report(fact));
  }
}
