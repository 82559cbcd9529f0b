/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.Optional;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.relay.RateLimitChange;
import org.larkkeel.relay.RateLimitNotice;
import org.larkkeel.relay.RateLimitReport;
import org.larkkeel.relay.RateLimitUsage;
import org.larkkeel.relay.RequestRate;

/**
 * The rate limit of one incarnation of an upstream, as its answers announce it.
 *
 * <p>Answers on different connections may overtake each other. An answer is composed after its
 * request was sent and before it is received, and nothing else is known of its age. Invariants: a
 * limit ends only by an answer that was composed after every answer that announced one; of two
 * answers that may have been composed in either order, the stricter counts. Reports of other nodes
 * count by their age; the reported end of a limit counts as somewhat older, since a message takes
 * time. Not thread-safe.
 */
final class RateLimitState {
  private static final long NEVER = Long.MIN_VALUE / 2;

  /** The time by which the end of a limit may be older than the message that reports it. */
  private static final long TRANSIT_NANOS = 250_000_000L;

  /**
   * The age from which a limit without a confirming answer is stale; an answer is then sought, as
   * only an answer shows the end of a limit.
   */
  private static final long STALE_NANOS = 1_000_000_000L;

  /** The time for which the end of a limit is reported, and for which answers may show it again. */
  private static final long REPORT_NANOS = 2_000_000_000L;

  private Optional<RequestRate> limit = Optional.empty();

  /** The send time of the request whose answer announced the limit in force. */
  private long limitSentAt = NEVER;

  /** The receive time of the last answer that announced a limit. */
  private long limitReceivedAt = NEVER;

  /** The number of requests sent since the limit came into force. */
  private long sentRequests;

  /** The send time of the last request whose answer showed that there is no limit any more. */
  private long liftedSentAt = NEVER;

  /** Returns the limit in force; empty if there is none. */
  Optional<RequestRate> limit() {
    return limit;
  }

  /**
   * Applies the notice of an answer.
   *
   * @param sentAt the send time of the request
   * @param at the receive time of the answer
   * @return the change of the limit; empty if it has not changed
   */
  Optional<RateLimitChange> applyNotice(long sentAt, long at, RateLimitNotice notice) {
    return switch (notice) {
      case RateLimitNotice.Unknown n -> Optional.empty();
      case RateLimitNotice.Unlimited n -> endLimit(sentAt);
      case RateLimitNotice.Limited n -> announceLimit(sentAt, at, n.rate());
    };
  }

  /**
   * Merges the report of another node.
   *
   * @return the change of the limit; empty if it has not changed
   */
  Optional<RateLimitChange> merge(long at, RateLimitReport report) {
    long observedAt = at - report.ageNanos();
    if (report.limit().isEmpty()) {
      return limitReceivedAt == NEVER ? Optional.empty() : endLimit(observedAt - TRANSIT_NANOS);
    }
    return observedAt > Math.max(limitReceivedAt, liftedSentAt)
        ? announceLimit(observedAt, observedAt, report.limit().get())
        : Optional.empty();
  }

  /**
   * Returns whether there is a limit, or was one a moment ago, so that it is reported to other
   * nodes.
   */
  boolean shouldReport(long at) {
    return limit.isPresent() || at - liftedSentAt <= REPORT_NANOS;
  }

  /** Returns whether there is a limit that no recent answer has confirmed. */
  boolean isStale(long at) {
    return limit.isPresent() && at - limitReceivedAt > STALE_NANOS;
  }

  /** Counts a request that is sent. */
  void countRequest() {
    sentRequests++;
  }

  /**
   * Returns the limit, its age and the number of requests sent under it; empty if there is none.
   */
  Optional<RateLimitUsage> usage(long at, UpstreamIncarnation incarnation) {
    return limit.map(
        rate -> new RateLimitUsage(incarnation, rate, at - limitReceivedAt, sentRequests));
  }

  /** Returns the report for other nodes. */
  RateLimitReport report(long at, UpstreamIncarnation incarnation) {
    return new RateLimitReport(
        incarnation, limit, at - (limit.isPresent() ? limitReceivedAt : liftedSentAt));
  }

  private Optional<RateLimitChange> endLimit(long sentAt) {
    if (sentAt < limitReceivedAt) {
      return Optional.empty();
    }
    liftedSentAt = Math.max(liftedSentAt, sentAt);
    boolean hadLimit = limit.isPresent();
    limit = Optional.empty();
    sentRequests = 0;
    return hadLimit ? Optional.of(RateLimitChange.LIFTED) : Optional.empty();
  }

  private Optional<RateLimitChange> announceLimit(long sentAt, long at, RequestRate rate) {
    limitReceivedAt = Math.max(limitReceivedAt, at);
    if (limit.isPresent() && sentAt < limitSentAt && rate.compareTo(limit.get()) >= 0) {
      return Optional.empty();
    }
    limitSentAt = Math.max(limitSentAt, sentAt);
    return setLimit(rate);
  }

  private Optional<RateLimitChange> setLimit(RequestRate rate) {
    Optional<RequestRate> previous = limit;
    limit = Optional.of(rate);
    if (previous.equals(limit)) {
      return Optional.empty();
    }
    return Optional.of(previous.isEmpty() ? RateLimitChange.NAMED : RateLimitChange.CHANGED);
  }
}
