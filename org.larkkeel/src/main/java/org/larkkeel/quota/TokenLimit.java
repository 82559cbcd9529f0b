/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.quota;

/**
 * A rate limit over all nodes: on the calls or tokens of a workspace, or on the requests to an
 * upstream in thousandths.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param perSecond tokens per second; 0 for no limit
 * @param burst the maximum number of tokens that can accumulate; at least 0
 * @since 0.1
 */
public record TokenLimit(long perSecond, long burst) {
  /** No limit. */
  public static final TokenLimit NONE = new TokenLimit(0, 0);

  /**
   * Validates the numbers.
   *
   * @throws IllegalArgumentException if a number is negative
   */
  public TokenLimit {
    if (perSecond < 0 || burst < 0) {
      throw new IllegalArgumentException(
          "the limit is " + perSecond + " a second and a burst of " + burst + ": use 0 or more");
    }
  }

  /** Returns whether there is a limit. */
  public boolean isLimited() {
    return perSecond > 0;
  }
}
