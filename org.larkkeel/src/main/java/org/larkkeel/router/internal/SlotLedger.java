/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import org.larkkeel.event.LoadReport;

/**
 * The slots of one upstream: those that this node holds or has reserved, and those that other nodes
 * hold.
 *
 * <p>A load report describes a past time, so the slots of other nodes are the reported number less
 * what this node held at that time. Invariant: no count is negative. Not safe for use by several
 * threads.
 *
 * @since 0.1
 */
public final class SlotLedger {
  private static final int HISTORY_SIZE = 512;
  private static final long REFUSAL_EFFECT_NANOS = 300_000_000L;

  private final long[] times = new long[HISTORY_SIZE];
  private final int[] counts = new int[HISTORY_SIZE];
  private int written;
  private int limit;
  private int granted = -1;
  private long grantedUntil;
  private int active;
  private int reserved;
  private int heldByOthers;
  private int recentRefusals;
  private long refusedUntil;

  /**
   * Sets the configured number of slots of the upstream.
   *
   * @param slots a number above 0
   */
  public void setLimit(int slots) {
    limit = slots;
  }

  /**
   * Applies a grant of slots to this node.
   *
   * @param slots the number of slots that this node may use
   * @param until the end of the grant
   */
  public void grant(int slots, long until) {
    granted = slots;
    grantedUntil = until;
  }

  /**
   * Applies a load report of the upstream.
   *
   * @param report the report
   */
  public void applyReport(LoadReport report) {
    if (report.slots() > 0) {
      limit = report.slots();
    }
    heldByOthers = Math.max(0, report.running() + report.waiting() - activeAt(report.asOf()));
    recentRefusals = 0;
  }

  /**
   * Records a refusal for lack of a slot; for a short time, one slot less is considered usable.
   *
   * @param now the time
   */
  public void recordRefusal(long now) {
    recentRefusals = recentRefusals(now) + 1;
    refusedUntil = now + REFUSAL_EFFECT_NANOS;
  }

  /** Resets the slots of other nodes and the history of this node, as the upstream restarted. */
  public void restarted() {
    heldByOthers = 0;
    recentRefusals = 0;
    written = 0;
  }

  /**
   * Records that this node takes a slot.
   *
   * @param now the time
   */
  public void take(long now) {
    active++;
    recordHistory(now);
  }

  /**
   * Records that this node releases a slot.
   *
   * @param now the time
   */
  public void release(long now) {
    active--;
    recordHistory(now);
  }

  /** Reserves a slot for a request that is not yet at the upstream. */
  public void reserve() {
    reserved++;
  }

  /** Removes a reservation. */
  public void unreserve() {
    reserved--;
  }

  /**
   * Returns the number of slots that this node may use, including those that it holds.
   *
   * @param now the time
   * @param shared true if slots are granted by their owner; without a valid grant, an equal share
   *     of the slots over the live nodes is used
   * @param nodes the number of live nodes
   * @return the number, at least 0
   */
  public int usable(long now, boolean shared, int nodes) {
    int available = Math.max(0, limit - heldByOthers - recentRefusals(now));
    if (!shared) {
      return available;
    }
    if (granted >= 0 && now < grantedUntil) {
      return Math.min(granted, available);
    }
    return Math.min(available, Math.max(1, limit / Math.max(1, nodes)));
  }

  /**
   * Returns the number of slots of the upstream.
   *
   * @return the number
   */
  public int limit() {
    return limit;
  }

  /**
   * Returns the number of slots that this node holds.
   *
   * @return the number
   */
  public int active() {
    return active;
  }

  /**
   * Returns the number of slots that this node has reserved for requests not yet at the upstream.
   *
   * @return the number
   */
  public int reserved() {
    return reserved;
  }

  /**
   * Returns the number of slots that other nodes hold according to the last load report.
   *
   * @return the number
   */
  public int heldByOthers() {
    return heldByOthers;
  }

  private int recentRefusals(long now) {
    return now < refusedUntil ? recentRefusals : 0;
  }

  private void recordHistory(long now) {
    int index = written % HISTORY_SIZE;
    times[index] = now;
    counts[index] = active;
    written++;
  }

  private int activeAt(long time) {
    int oldest = Math.max(0, written - HISTORY_SIZE);
    for (int i = written - 1; i >= oldest; i--) {
      if (times[i % HISTORY_SIZE] <= time) {
        return counts[i % HISTORY_SIZE];
      }
    }
    return written > HISTORY_SIZE ? counts[oldest % HISTORY_SIZE] : 0;
  }
}
