/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.quota;

/**
 * How many tokens a workspace may use over all nodes.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param perSecond the rate; 0 for no limit
 * @param burst the most that can be saved up; at least 0
 * @since 0.1
 */
public record TokenLimit(long perSecond, long burst) {
  /** No limit. */
  public static final TokenLimit NONE = new TokenLimit(0, 0);

  /** Checks the numbers. */
  public TokenLimit {
    if (perSecond < 0 || burst < 0) {
      throw new IllegalArgumentException(
          "the limit is " + perSecond + " a second and a burst of " + burst + ": use 0 or more");
    }
  }

  /** Whether there is a limit. */
  public boolean isLimited() {
    return perSecond > 0;
  }
}
