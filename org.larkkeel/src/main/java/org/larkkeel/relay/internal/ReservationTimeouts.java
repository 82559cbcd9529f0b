/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.SplittableRandom;
import org.larkkeel.relay.ServiceName;

/**
 * Computes the maximum wait of calls for a reservation, and the Retry-After of those that got none.
 * Stateless.
 */
final class ReservationTimeouts {
  private static final long MILLI = 1_000_000L;

  /**
   * The share of the target for which a call waits for a reservation before it is refused with a
   * Retry-After.
   */
  private static final double WAIT_SHARE = 0.22;

  /** The share of the target for which a call whose upstream was lost waits for a reservation. */
  private static final double LOST_UPSTREAM_WAIT_SHARE = 0.8;

  /**
   * The multiple of the target for which a stream waits for a reservation if its caller has the
   * beginning: half of the pause of four targets after which callers abandon a stream, as the loss
   * may have been noticed late.
   */
  private static final double STREAMING_WAIT_SHARE = 2;

  /**
   * The share of its remaining time for which a call that its caller retried waits for a
   * reservation.
   */
  private static final double RETRY_WAIT_SHARE = 0.35;

  /**
   * The maximum wait for a reservation of a call that its caller retried, as a multiple of the
   * target: callers abandon a stream that has not begun by four times the target.
   */
  private static final double MAX_RETRY_WAIT_TARGETS = 3.2;

  /**
   * The minimum Retry-After of a call without a reservation, or without a retry budget; the maximum
   * is {@link #MAX_RETRY_AFTER_SHARE} of its remaining time.
   */
  private static final long MIN_RETRY_AFTER_MILLIS = 1_000;

  private static final double MAX_RETRY_AFTER_SHARE = 0.32;

  /**
   * The share of a backoff over which the retries after it are spread, which is at least {@link
   * #MIN_SPREAD_MILLIS}.
   */
  private static final double BACKOFF_SPREAD = 0.25;

  private static final long MIN_SPREAD_MILLIS = 200;

  private ReservationTimeouts() {}

  /**
   * Returns the maximum time for which a call waits for a reservation from now on, in nanoseconds.
   */
  static long maxWaitNanos(CallState c, long at) {
    double target = c.rule.targetMillis() * MILLI;
    if (c.isStreaming()) {
      return (long) (STREAMING_WAIT_SHARE * target);
    }
    if (c.attemptCount > 0) {
      return (long) (LOST_UPSTREAM_WAIT_SHARE * target);
    }
    if (c.isFirstTry()) {
      return (long) (WAIT_SHARE * target);
    }
    return (long) Math.min(RETRY_WAIT_SHARE * (c.deadline - at), MAX_RETRY_WAIT_TARGETS * target);
  }

  /**
   * Returns the Retry-After in milliseconds of a call whose upstreams are all in backoff or without
   * permits until {@code opensAt}: spread over a part of that time, so that not all callers retry
   * at the same moment.
   */
  static long retryAfterBackoffMillis(long at, long opensAt, SplittableRandom random) {
    long backoffMillis = Math.max(0, opensAt - at) / MILLI;
    return backoffMillis
        + 1
        + random.nextLong(MIN_SPREAD_MILLIS + (long) (BACKOFF_SPREAD * backoffMillis));
  }

  /**
   * Returns the detail of the refusal of a call whose upstreams are all in backoff or have reached
   * their rate limits.
   */
  static String notAcceptingDetail(ServiceName service) {
    return "all upstreams of " + service + " rest or have a limit that is used up";
  }

  /**
   * Returns the Retry-After in milliseconds of a call that got no reservation, or that may not be
   * retried because the retry budget is spent.
   */
  static long retryAfterMillis(CallState c, long at, SplittableRandom random) {
    long remainingMillis = (c.deadline - at) / MILLI;
    long maxMillis =
        Math.max(MIN_RETRY_AFTER_MILLIS + 1, (long) (MAX_RETRY_AFTER_SHARE * remainingMillis));
    return random.nextLong(MIN_RETRY_AFTER_MILLIS, maxMillis);
  }
}
