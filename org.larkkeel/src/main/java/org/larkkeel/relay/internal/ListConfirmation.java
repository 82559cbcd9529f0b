/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.function.Consumer;
import org.larkkeel.relay.RelayEffect;

/**
 * When the discovery list was last known to be complete.
 *
 * <p>A watch that is silent does not tell whether nothing has changed or nothing is heard, so the
 * list is read again when a decision depends on it. Reads are combined: there is one at a time, and
 * one that was begun a moment ago counts.
 *
 * <p>Invariant: all changes that the store had accepted by the time of the last confirmation have
 * been applied. Not thread-safe.
 */
final class ListConfirmation {
  /** The age up to which a list counts as current. */
  private static final long FRESH_NANOS = 200_000_000L;

  /** The time within which a store that is reached answers. */
  private static final long ANSWER_NANOS = 60_000_000L;

  private final Consumer<RelayEffect> effects;
  private long confirmedAt = Long.MIN_VALUE;
  private long lastNumber;
  private boolean awaited;
  private long requestedAt;

  ListConfirmation(Consumer<RelayEffect> effects) {
    this.effects = effects;
  }

  /** Requests to read the list again, unless it is current or an earlier request is unanswered. */
  void request(long at) {
    if (!awaited && !isCompleteAt(at)) {
      awaited = true;
      requestedAt = at;
      effects.accept(new RelayEffect.ConfirmUpstreams(++lastNumber));
    }
  }

  /** Handles the answer to a request; returns whether it confirms the list. */
  boolean confirmed(long number) {
    if (!awaited || number != lastNumber) {
      return false;
    }
    awaited = false;
    confirmedAt = requestedAt;
    return true;
  }

  /** Returns whether the list was complete at a time, or shortly before. */
  boolean isCompleteAt(long time) {
    return confirmedAt != Long.MIN_VALUE && time - confirmedAt <= FRESH_NANOS;
  }

  /** Returns whether the store should have answered a request by now. */
  boolean isOverdue(long at) {
    return awaited && at - requestedAt >= ANSWER_NANOS;
  }

  /** Returns the time at which a request that is made now becomes overdue. */
  static long overdueAt(long at) {
    return at + ANSWER_NANOS;
  }

  /** Returns the time since the list was last complete; negative if it never was. */
  long ageNanos(long at) {
    return confirmedAt == Long.MIN_VALUE ? -1 : at - confirmedAt;
  }
}
