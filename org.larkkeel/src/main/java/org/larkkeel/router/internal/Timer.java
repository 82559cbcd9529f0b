/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

/**
 * One moment at which something is to be done; it can be moved or cleared.
 *
 * <p>Invariant: in at most one place of at most one {@link TimerQueue}. Not safe for use by several
 * threads.
 *
 * @since 0.1
 */
public final class Timer {
  static final int UNSET = -1;

  private final Runnable action;
  long at;
  int index = UNSET;

  /**
   * Creates a timer that is not set.
   *
   * @param action what is done when it is due
   */
  public Timer(Runnable action) {
    this.action = action;
  }

  /**
   * Tells whether the timer is set.
   *
   * @return true if it waits in a queue
   */
  public boolean isSet() {
    return index != UNSET;
  }

  /** Does what the timer is for. */
  void fire() {
    action.run();
  }
}
