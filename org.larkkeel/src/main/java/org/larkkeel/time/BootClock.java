/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.time;

import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * A monotonic clock that includes the time for which the machine was suspended.
 *
 * <p>{@link System#nanoTime} stops during a suspension, so that a lease, a deadline or a known
 * state would appear younger on this node than on all others. The kernel's boot time includes
 * suspensions, but reading it takes native code that is slow to link. It is therefore read only
 * after the time of day has moved relative to the steady clock, which happens in a suspension and
 * also when the time of day is set; only suspensions are counted.
 *
 * <p>Limits: if the machine was suspended before this process started, the first forward step of
 * the time of day is taken for a suspension, as the two can not be distinguished. A suspension that
 * is hidden by a simultaneous backward step is detected only if the boot time was read before. Safe
 * for use by several threads.
 *
 * @since 0.1
 */
public final class BootClock {
  /** A constant expression, because {@link #SYSTEM} uses it while this class is initialized. */
  private static final long MILLI = 1_000_000L;

  /** The clock of this process. */
  public static final BootClock SYSTEM =
      new BootClock(System::nanoTime, System::currentTimeMillis, new BootTime());

  /**
   * The maximum difference that is treated as an adjustment of the time of day; shorter suspensions
   * are ignored.
   */
  private static final long TOLERANCE_NANOS = 250 * MILLI;

  private final LongSupplier steady;
  private final LongSupplier wallMillis;
  private final Supplier<OptionalLong> bootNanos;
  private volatile long drift;
  private volatile long suspended;
  private boolean offsetKnown;

  /**
   * The amount by which the boot time was ahead of the steady clock before the first suspension
   * that counts.
   */
  private long offset;

  /**
   * Creates a clock that counts suspensions from now on.
   *
   * @param steady nanoseconds, not including suspensions
   * @param wallMillis the time of day, in milliseconds
   * @param bootNanos nanoseconds, including suspensions; empty if there is no such clock
   */
  public BootClock(LongSupplier steady, LongSupplier wallMillis, Supplier<OptionalLong> bootNanos) {
    this.steady = steady;
    this.wallMillis = wallMillis;
    this.bootNanos = bootNanos;
    this.drift = driftFrom(steady.getAsLong());
  }

  /** Returns nanoseconds from an arbitrary origin, including suspensions. */
  public long nanoTime() {
    long now = steady.getAsLong();
    if (Math.abs(driftFrom(now) - drift) > TOLERANCE_NANOS) {
      countMovement();
    }
    return now + suspended;
  }

  /**
   * Handles a movement of the time of day. The movement stays visible to other threads until the
   * suspension is counted; they wait for that.
   */
  private synchronized void countMovement() {
    long moved = driftFrom(steady.getAsLong()) - drift;
    if (Math.abs(moved) > TOLERANCE_NANOS) {
      updateSuspended(moved);
      drift += moved;
    }
  }

  /** Returns whether the boot time was read. */
  synchronized boolean hasReadBootTime() {
    return offsetKnown;
  }

  private long driftFrom(long now) {
    return wallMillis.getAsLong() * MILLI - now;
  }

  /** Returns the total time for which the machine was suspended, in nanoseconds. */
  public long suspendedNanos() {
    return suspended;
  }

  /**
   * Detects a suspension that was hidden by a step of the time of day; to be called periodically.
   */
  public synchronized void check() {
    if (offsetKnown) {
      updateSuspended(0);
    }
  }

  private synchronized void updateSuspended(long moved) {
    OptionalLong boot = bootNanos.get();
    if (boot.isEmpty()) {
      return;
    }
    long ahead = boot.getAsLong() - steady.getAsLong();
    if (!offsetKnown) {
      offsetKnown = true;
      offset = ahead - Math.max(0, Math.min(moved, ahead));
    }
    long total = ahead - offset;
    if (total - suspended > TOLERANCE_NANOS) {
      suspended = total;
    }
  }
}
