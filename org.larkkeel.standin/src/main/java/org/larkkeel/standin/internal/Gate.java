/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin.internal;

/**
 * Lets threads pass while open and holds them while shut.
 *
 * <p>Safe for use by several threads.
 *
 * @since 0.1
 */
public final class Gate {
  private boolean shut;

  /**
   * Opens or shuts the gate.
   *
   * @param value true to hold threads
   */
  public synchronized void shut(boolean value) {
    shut = value;
    notifyAll();
  }

  /**
   * Waits until the gate is open.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public synchronized void pass() throws InterruptedException {
    while (shut) {
      wait();
    }
  }
}
