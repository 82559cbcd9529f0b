/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

/**
 * The kinds of lanes of a route, by retry, prompt size and lateness.
 *
 * @since 0.1
 */
public enum LaneKind {
  /** Requests that have been at an upstream; served first. */
  RETRY(0),
  /** Requests with a small prompt or none; served ahead of long ones. */
  SMALL(0.1),
  /** Requests with a prompt below half the mean size. */
  SHORT(0.25),
  /** Requests with a prompt below the mean size. */
  MEDIUM(0.5),
  /** Requests with a prompt of at least the mean size. */
  LONG(0.75),
  /** Requests with a prompt of at least twice the mean size. */
  HUGE(1),
  /** Requests that missed their target; served after the others. */
  LATE(1);

  private final double targetShare;

  LaneKind(double targetShare) {
    this.targetShare = targetShare;
  }

  /**
   * Returns the part of the time from arrival to target that is added to the arrival time to get
   * the sort key of a request; a smaller part is served earlier.
   *
   * @return a share from 0 to 1
   */
  public double targetShare() {
    return targetShare;
  }

  /**
   * Returns the kind of lane for a prompt that is not small.
   *
   * @param tokens the size of the prompt
   * @param meanTokens the mean size of the prompts of the route, in tokens
   * @return the kind of lane
   */
  static LaneKind ofSize(int tokens, double meanTokens) {
    if (tokens < meanTokens / 2) {
      return SHORT;
    }
    if (tokens < meanTokens) {
      return MEDIUM;
    }
    return tokens < 2 * meanTokens ? LONG : HUGE;
  }
}
