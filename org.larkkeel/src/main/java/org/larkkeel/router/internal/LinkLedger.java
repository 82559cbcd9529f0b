/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

/**
 * The use of the link of one upstream by transfers in progress and reserved ones.
 *
 * <p>Invariant: the number of reserved bytes is not negative. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class LinkLedger {
  private static final double NANOS_PER_SECOND = 1e9;

  private double bytesPerNano = 1;
  private long busyUntil;
  private long reservedBytes;
  private int transfers;

  /**
   * Sets the rate of the link.
   *
   * @param bytesPerSecond bytes per second, above 0
   */
  public void setRate(long bytesPerSecond) {
    bytesPerNano = bytesPerSecond / NANOS_PER_SECOND;
  }

  /**
   * Reserves time for a later transfer.
   *
   * @param bytes the size of the transfer
   */
  public void reserve(long bytes) {
    reservedBytes += bytes;
  }

  /**
   * Removes a reservation.
   *
   * @param bytes the size given at the reservation
   */
  public void unreserve(long bytes) {
    reservedBytes -= bytes;
  }

  /**
   * Records the start of a transfer.
   *
   * @param now the time
   * @param bytes the size of the transfer
   */
  public void started(long now, long bytes) {
    transfers++;
    busyUntil = Math.max(now, busyUntil) + transferNanos(bytes);
  }

  /**
   * Records the end of a transfer.
   *
   * @param now the time
   */
  public void ended(long now) {
    transfers--;
    if (transfers == 0) {
      busyUntil = Math.min(busyUntil, now);
    }
  }

  /**
   * Predicts the time at which the link is free of current and reserved transfers.
   *
   * @param now the time
   * @return nanoseconds, not before now
   */
  public long freeAt(long now) {
    return Math.max(now, busyUntil) + transferNanos(reservedBytes);
  }

  /**
   * Returns the duration of a transfer on an idle link.
   *
   * @param bytes the size of the transfer
   * @return nanoseconds
   */
  public long transferNanos(long bytes) {
    return (long) (bytes / bytesPerNano);
  }
}
