/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin.internal;

import com.google.common.collect.ImmutableMap;
import com.google.common.util.concurrent.RateLimiter;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.larkkeel.standin.PlatformVerb;

/**
 * The injected faults and the call counts of the platform.
 *
 * <p>Safe for use by several threads.
 *
 * @since 0.1
 */
public final class PlatformFaults {
  /** True while all calls are refused with 503. */
  public volatile boolean outage;

  /** The delay before each call is processed, in milliseconds. */
  public volatile long latencyMillis;

  /** The number of following writes that take effect but lose their answer. */
  public final AtomicInteger answersToLose = new AtomicInteger();

  /** The number of following writes whose connection is closed before they take effect. */
  public final AtomicInteger writesToLose = new AtomicInteger();

  private final Map<PlatformVerb, LongAdder> counts = new EnumMap<>(PlatformVerb.class);
  private volatile RateLimiter limiter;

  /** Creates an instance with all counts zero and no faults. */
  public PlatformFaults() {
    for (PlatformVerb verb : PlatformVerb.values()) {
      counts.put(verb, new LongAdder());
    }
  }

  /**
   * Limits the rate of calls.
   *
   * @param callsPerSecond the rate, 0 for no limit
   */
  public void limit(double callsPerSecond) {
    limiter = callsPerSecond > 0 ? RateLimiter.create(callsPerSecond) : null;
  }

  /**
   * Returns the number of calls received, including refused ones.
   *
   * @return the number of calls by verb
   */
  public ImmutableMap<PlatformVerb, Long> calls() {
    ImmutableMap.Builder<PlatformVerb, Long> callsByVerb = ImmutableMap.builder();
    counts.forEach((verb, count) -> callsByVerb.put(verb, count.sum()));
    return callsByVerb.buildOrThrow();
  }

  /** Counts a call, delays it, and refuses it during an outage or above the rate limit. */
  void admit(PlatformVerb verb) throws InterruptedException {
    counts.get(verb).increment();
    Thread.sleep(latencyMillis);
    if (outage) {
      throw new RefusedException(503, "ServiceUnavailable", "the platform is down");
    }
    RateLimiter rate = limiter;
    if (rate != null && !rate.tryAcquire()) {
      throw new RefusedException(429, "TooManyRequests", "the rate is used up");
    }
  }

  static boolean decrementIfPositive(AtomicInteger counter) {
    return counter.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
  }
}
