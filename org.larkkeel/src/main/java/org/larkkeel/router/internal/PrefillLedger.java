/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

/**
 * The known prefill work at one engine.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class PrefillLedger {
  private int running;
  private long pendingTokens;
  private long lastEventAt;
  private int prefillsOfOthers;

  /**
   * Records the start of a prefill of this node.
   *
   * @param now the time
   * @param prefillTokens the number of tokens to compute
   */
  public void started(long now, int prefillTokens) {
    if (running == 0) {
      lastEventAt = now;
    }
    running++;
    pendingTokens += prefillTokens;
  }

  /**
   * Records the end of a prefill of this node, whether it completed or failed.
   *
   * @param now the time
   * @param prefillTokens the number of tokens given at the start
   * @return the earliest time at which the engine can have started to compute this prefill
   */
  public long ended(long now, int prefillTokens) {
    final long previousEventAt = lastEventAt;
    running--;
    pendingTokens -= prefillTokens;
    lastEventAt = now;
    return previousEventAt;
  }

  /**
   * Sets the number of prefills of other nodes at the engine.
   *
   * @param count the number
   */
  public void setPrefillsOfOthers(int count) {
    prefillsOfOthers = count;
  }

  /**
   * Returns the number of prefills of this node at the engine.
   *
   * @return the number
   */
  public int running() {
    return running;
  }

  /**
   * Predicts the time at which the engine has finished its current work. Prefills of other nodes
   * are assumed to have the mean size of this node's prefills.
   *
   * @param now the time
   * @param speeds the estimated speeds of the engine
   * @return nanoseconds, not before now
   */
  public long freeAt(long now, SpeedEstimates speeds) {
    if (running == 0 && prefillsOfOthers == 0) {
      return now;
    }
    double meanTokens = running == 0 ? 0 : (double) pendingTokens / running;
    double workNanos =
        speeds.prefillNanos(meanTokens) * running
            + speeds.prefillNanos(meanTokens) * prefillsOfOthers;
    return Math.max(now, lastEventAt + (long) workNanos);
  }
}
