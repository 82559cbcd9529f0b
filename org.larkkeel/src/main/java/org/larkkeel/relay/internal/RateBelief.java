/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.Optional;
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.relay.RateChange;
import org.larkkeel.relay.RateNotice;
import org.larkkeel.relay.RateUse;
import org.larkkeel.relay.RateWord;
import org.larkkeel.relay.RequestRate;

/**
 * The limit of the requests that one life of an upstream takes, by its answers.
 *
 * <p>Answers on different connections may overtake each other. An answer is composed after its
 * request was sent and before it is received, and only that is known of its age. Invariants: a
 * limit ends only by an answer that was composed after each that named one; of two answers that may
 * have been composed in either order, the stricter counts. What other nodes tell counts by its age;
 * that a limit has ended counts as somewhat older, since a message takes its time. Not safe for use
 * by several threads.
 */
final class RateBelief {
  private static final long NEVER = Long.MIN_VALUE / 2;

  /** How much older the end of a limit may be than the message that tells of it. */
  private static final long TRANSIT_NANOS = 250_000_000L;

  /** After this time without an answer one is sought, as only an answer shows the end. */
  private static final long OLD_NANOS = 1_000_000_000L;

  /** How long the end of a limit is told, and how long answers may show it once more. */
  private static final long TOLD_NANOS = 2_000_000_000L;

  private Optional<RequestRate> limit = Optional.empty();

  /** When the request was sent whose answer named the limit that holds. */
  private long namedSentAt = NEVER;

  /** When the last answer that named a limit was received. */
  private long namedAt = NEVER;

  /** Requests since there has been a limit. */
  private long sent;

  /** When the last request was sent whose answer has shown that there is no limit any more. */
  private long liftedAt = NEVER;

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
      case RateNotice.Unlimited n -> unlimited(sentAt);
      case RateNotice.Limited n -> named(sentAt, at, n.rate());
    };
  }

  /** Takes over what another node tells; as the other. */
  Optional<RateChange> heard(long at, RateWord word) {
    long heardAt = at - word.ageNanos();
    if (word.limit().isEmpty()) {
      return namedAt == NEVER ? Optional.empty() : unlimited(heardAt - TRANSIT_NANOS);
    }
    return heardAt > Math.max(namedAt, liftedAt)
        ? named(heardAt, heardAt, word.limit().get())
        : Optional.empty();
  }

  /** Whether there is a limit, or was one a moment ago, so that others are told of it. */
  boolean isNews(long at) {
    return limit.isPresent() || at - liftedAt <= TOLD_NANOS;
  }

  /** Whether no answer has shown for some time that the limit still holds. */
  boolean isOld(long at) {
    return limit.isPresent() && at - namedAt > OLD_NANOS;
  }

  /** A request is sent. */
  void countSend() {
    sent++;
  }

  /** What is known of the limit, and what was sent meanwhile; empty without a limit. */
  Optional<RateUse> use(long at, UpstreamLife life) {
    return limit.map(rate -> new RateUse(life, rate, at - namedAt, sent));
  }

  /** What other nodes are told. */
  RateWord word(long at, UpstreamLife life) {
    return new RateWord(life, limit, at - (limit.isPresent() ? namedAt : liftedAt));
  }

  private Optional<RateChange> unlimited(long sentAt) {
    if (sentAt < namedAt) {
      return Optional.empty();
    }
    liftedAt = Math.max(liftedAt, sentAt);
    boolean was = limit.isPresent();
    limit = Optional.empty();
    sent = 0;
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
