/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

/**
 * A timer that can be set, moved and cleared in a {@link TimerQueue}.
 *
 * <p>Invariant: a timer is in at most one queue, at the index that it knows. Not safe for use by
 * several threads.
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
   * @param action the action to run when the timer fires
   */
  public Timer(Runnable action) {
    this.action = action;
  }

  /**
   * Returns whether the timer is set.
   *
   * @return true if it is in a queue
   */
  public boolean isSet() {
    return index != UNSET;
  }

  /** Runs the action. */
  void fire() {
    action.run();
  }
}
