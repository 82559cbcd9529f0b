/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

/**
 * Why a request waits where it does.
 *
 * @since 0.1
 */
public enum LaneKind {
  /** Has been at an upstream before and goes on first. */
  AGAIN(0),
  /** Has a small prompt, or none, and passes between the long ones. */
  SMALL(0.1),
  /** Has a prompt below half the usual. */
  SHORT(0.25),
  /** Has a prompt below the usual. */
  MEDIUM(0.5),
  /** Has a prompt above the usual. */
  LONG(0.75),
  /** Has a prompt above twice the usual. */
  HUGE(1),
  /** Missed its target and is served after the others. */
  LATE(1);

  private final double patience;

  LaneKind(double patience) {
    this.patience = patience;
  }

  /**
   * The share of its target time after which a request goes before all that arrive later.
   *
   * @return a share from 0 to 1
   */
  public double patience() {
    return patience;
  }

  /**
   * Chooses the lane of a prompt.
   *
   * @param tokens its size
   * @param usual the mean size of prompts of the route
   * @return the lane
   */
  static LaneKind ofSize(int tokens, double usual) {
    if (tokens < usual / 2) {
      return SHORT;
    }
    if (tokens < usual) {
      return MEDIUM;
    }
    return tokens < 2 * usual ? LONG : HUGE;
  }
}
