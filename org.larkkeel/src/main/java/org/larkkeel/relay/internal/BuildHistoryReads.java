/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.function.Consumer;
import org.larkkeel.relay.RelayEffect;

/**
 * The reads of the history of builds from the store.
 *
 * <p>Invariant: there is one read at a time, and one that was begun a moment ago counts for all
 * calls that need it. Not thread-safe.
 */
final class BuildHistoryReads {
  /** The age up to which a read counts as current. */
  private static final long FRESH_NANOS = 1_000_000_000L;

  /** The time between a read that failed and the next one. */
  private static final long RETRY_NANOS = 300_000_000L;

  /** The time within which a store that is reached answers. */
  private static final long ANSWER_NANOS = 200_000_000L;

  private final Consumer<RelayEffect> effects;
  private long lastNumber;
  private boolean awaited;
  private long requestedAt = Long.MIN_VALUE;
  private long readAt = Long.MIN_VALUE;
  private long failedAt = Long.MIN_VALUE;

  BuildHistoryReads(Consumer<RelayEffect> effects) {
    this.effects = effects;
  }

  /** Requests a read, unless one is current or awaited. */
  void request(long at) {
    if (!awaited && !isFresh(at) && !hasFailed(at)) {
      awaited = true;
      requestedAt = at;
      effects.accept(new RelayEffect.ReadBuildHistory(++lastNumber));
    }
  }

  /** Handles that builds may have come and gone unseen since the last read. */
  void gap() {
    awaited = false;
    readAt = Long.MIN_VALUE;
  }

  /** Handles the end of a read; returns whether its result counts. */
  boolean ended(long at, long number, boolean succeeded) {
    if (!awaited || number != lastNumber) {
      return false;
    }
    awaited = false;
    if (succeeded) {
      readAt = requestedAt;
    } else {
      failedAt = at;
    }
    return succeeded;
  }

  private boolean hasFailed(long at) {
    return failedAt != Long.MIN_VALUE && at - failedAt < RETRY_NANOS;
  }

  private boolean isFresh(long at) {
    return readAt != Long.MIN_VALUE && at - readAt <= FRESH_NANOS;
  }

  /** Returns whether the answer to a read may still arrive in time. */
  boolean isPending(long at) {
    return awaited && at - requestedAt < ANSWER_NANOS;
  }

  /** Returns the time at which a read that is requested now is no longer pending. */
  static long overdueAt(long at) {
    return at + ANSWER_NANOS;
  }
}
