/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import org.larkkeel.event.LoadReport;

/**
 * The slots of one upstream: those that this node holds or has promised, and those of others.
 *
 * <p>A report describes the past, so what others hold is the reported number less what this node
 * held at that time. Invariant: no count is negative. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class SlotLedger {
  private static final int HISTORY = 512;
  private static final long REFUSAL_NANOS = 300_000_000L;

  private final long[] times = new long[HISTORY];
  private final int[] counts = new int[HISTORY];
  private int written;
  private int limit;
  private int granted = -1;
  private long grantedUntil;
  private int active;
  private int reserved;
  private int others;
  private int refusals;
  private long refusedUntil;

  /**
   * Sets the number of slots of the upstream.
   *
   * @param slots a number above 0
   */
  public void setLimit(int slots) {
    limit = slots;
  }

  /**
   * Takes a grant of slots for this node.
   *
   * @param slots slots that this node may use
   * @param until the end of the grant
   */
  public void grant(int slots, long until) {
    granted = slots;
    grantedUntil = until;
  }

  /**
   * Takes what the upstream said of itself.
   *
   * @param report the report
   */
  public void reported(LoadReport report) {
    if (report.slots() > 0) {
      limit = report.slots();
    }
    others = Math.max(0, report.running() + report.waiting() - activeAt(report.asOf()));
    refusals = 0;
  }

  /**
   * The upstream refused for want of a slot, so for a short time one less is counted on.
   *
   * @param now the time
   */
  public void refused(long now) {
    refusals = refusals(now) + 1;
    refusedUntil = now + REFUSAL_NANOS;
  }

  /** Forgets what others and this node held: the upstream started anew. */
  public void restarted() {
    others = 0;
    refusals = 0;
    written = 0;
  }

  /**
   * A slot is taken.
   *
   * @param now the time
   */
  public void take(long now) {
    active++;
    note(now);
  }

  /**
   * A slot is given back.
   *
   * @param now the time
   */
  public void release(long now) {
    active--;
    note(now);
  }

  /** Promises a slot to a request that is not there yet. */
  public void reserve() {
    reserved++;
  }

  /** Takes a promise back. */
  public void unreserve() {
    reserved--;
  }

  /**
   * Slots that this node may use, those it holds included.
   *
   * @param now the time
   * @param shared whether slots are granted; without a valid grant the share is used
   * @param nodes live nodes
   * @return a number not below 0
   */
  public int usable(long now, boolean shared, int nodes) {
    int left = Math.max(0, limit - others - refusals(now));
    if (!shared) {
      return left;
    }
    if (granted >= 0 && now < grantedUntil) {
      return Math.min(granted, left);
    }
    return Math.min(left, Math.max(1, limit / Math.max(1, nodes)));
  }

  /**
   * Slots of the upstream.
   *
   * @return a number
   */
  public int limit() {
    return limit;
  }

  /**
   * Slots that this node holds.
   *
   * @return a number
   */
  public int active() {
    return active;
  }

  /**
   * Slots that this node has promised to requests on their way.
   *
   * @return a number
   */
  public int reserved() {
    return reserved;
  }

  /**
   * Slots held by others, as far as known.
   *
   * @return a number
   */
  public int others() {
    return others;
  }

  private int refusals(long now) {
    return now < refusedUntil ? refusals : 0;
  }

  private void note(long now) {
    int place = written % HISTORY;
    times[place] = now;
    counts[place] = active;
    written++;
  }

  private int activeAt(long time) {
    int oldest = Math.max(0, written - HISTORY);
    for (int i = written - 1; i >= oldest; i--) {
      if (times[i % HISTORY] <= time) {
        return counts[i % HISTORY];
      }
    }
    return written > HISTORY ? counts[oldest % HISTORY] : 0;
  }
}
