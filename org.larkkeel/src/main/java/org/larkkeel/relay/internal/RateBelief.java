/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.Optional;
import org.larkkeel.relay.RateChange;
import org.larkkeel.relay.RateNotice;
import org.larkkeel.relay.RequestRate;

/**
 * The limit of the requests that one life of an upstream takes, by its answers.
 *
 * <p>Answers on different connections may overtake each other. An answer is composed after its
 * request was sent and before it is received, and only that is known of its age. Invariants: a
 * limit ends only by an answer that was composed after each that named one; of two answers that may
 * have been composed in either order, the stricter counts. Not safe for use by several threads.
 */
final class RateBelief {
  private static final long NEVER = Long.MIN_VALUE;

  private Optional<RequestRate> limit = Optional.empty();

  /** When the request was sent whose answer named the limit that holds. */
  private long namedSentAt = NEVER;

  /** When the last answer that named a limit was received. */
  private long namedAt = NEVER;

  /** The limit that holds; empty if there is none. */
  Optional<RequestRate> limit() {
    return limit;
  }

  /**
   * Takes over what an answer says.
   *
   * @param sentAt when its request was sent
   * @param at when it was received
   * @return how the limit has changed; empty if it has not
   */
  Optional<RateChange> noticed(long sentAt, long at, RateNotice notice) {
    return switch (notice) {
      case RateNotice.Unsaid n -> Optional.empty();
      case RateNotice.Unlimited n -> sentAt >= namedAt ? lift() : Optional.empty();
      case RateNotice.Limited n -> named(sentAt, at, n.rate());
    };
  }

  private Optional<RateChange> lift() {
    boolean was = limit.isPresent();
    limit = Optional.empty();
    return was ? Optional.of(RateChange.LIFTED) : Optional.empty();
  }

  private Optional<RateChange> named(long sentAt, long at, RequestRate rate) {
    namedAt = Math.max(namedAt, at);
    if (limit.isPresent() && sentAt < namedSentAt && rate.compareTo(limit.get()) >= 0) {
      return Optional.empty();
    }
    namedSentAt = Math.max(namedSentAt, sentAt);
    return set(rate);
  }

  private Optional<RateChange> set(RequestRate rate) {
    Optional<RequestRate> before = limit;
    limit = Optional.of(rate);
    if (before.equals(limit)) {
      return Optional.empty();
    }
    return Optional.of(before.isEmpty() ? RateChange.NAMED : RateChange.CHANGED);
  }
}
