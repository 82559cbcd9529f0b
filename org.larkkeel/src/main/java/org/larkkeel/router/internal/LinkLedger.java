/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

/**
 * The time of one upstream's link: transfers under way and those promised.
 *
 * <p>Invariant: promised bytes are not negative. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class LinkLedger {
  private static final double NANOS_PER_SECOND = 1e9;

  private double bytesPerNano = 1;
  private long busyUntil;
  private long reservedBytes;
  private int moving;

  /**
   * Sets the rate of the link.
   *
   * @param bytesPerSecond bytes a second, above 0
   */
  public void setRate(long bytesPerSecond) {
    bytesPerNano = bytesPerSecond / NANOS_PER_SECOND;
  }

  /**
   * Promises time for a transfer to come.
   *
   * @param bytes its size
   */
  public void reserve(long bytes) {
    reservedBytes += bytes;
  }

  /**
   * Takes a promise back.
   *
   * @param bytes its size
   */
  public void unreserve(long bytes) {
    reservedBytes -= bytes;
  }

  /**
   * A transfer starts.
   *
   * @param now the time
   * @param bytes its size
   */
  public void started(long now, long bytes) {
    moving++;
    busyUntil = Math.max(now, busyUntil) + nanos(bytes);
  }

  /**
   * A transfer ended.
   *
   * @param now the time
   */
  public void ended(long now) {
    moving--;
    if (moving == 0) {
      busyUntil = Math.min(busyUntil, now);
    }
  }

  /**
   * Predicts when the link has nothing else to carry.
   *
   * @param now the time
   * @return nanoseconds, not before now
   */
  public long freeAt(long now) {
    return Math.max(now, busyUntil) + nanos(reservedBytes);
  }

  /**
   * The time that bytes take on an idle link.
   *
   * @param bytes their number
   * @return nanoseconds
   */
  public long nanos(long bytes) {
    return (long) (bytes / bytesPerNano);
  }
}
