/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

/**
 * The prefill work inside one engine, as far as this node knows.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class PrefillLedger {
  private int running;
  private long tokens;
  private long lastEventAt;
  private int others;

  /**
   * A prefill starts.
   *
   * @param now the time
   * @param work tokens to compute
   */
  public void started(long now, int work) {
    if (running == 0) {
      lastEventAt = now;
    }
    running++;
    tokens += work;
  }

  /**
   * A prefill ended, however it did.
   *
   * @param now the time
   * @param work the tokens given at the start
   * @return since when the engine was free for it at the earliest
   */
  public long ended(long now, int work) {
    final long before = lastEventAt;
    running--;
    tokens -= work;
    lastEventAt = now;
    return before;
  }

  /**
   * Takes the number of prefills of other nodes inside the engine.
   *
   * @param count a number
   */
  public void setOthers(int count) {
    others = count;
  }

  /**
   * Prefills of this node.
   *
   * @return a count
   */
  public int running() {
    return running;
  }

  /**
   * Predicts when the engine has done all that it has.
   *
   * @param now the time
   * @param rates its rates
   * @return nanoseconds, not before now
   */
  public long freeAt(long now, Rates rates) {
    if (running == 0 && others == 0) {
      return now;
    }
    double mean = running == 0 ? 0 : (double) tokens / running;
    double work = rates.prefillNanos(mean) * running + rates.prefillNanos(mean) * others;
    return Math.max(now, lastEventAt + (long) work);
  }
}
