/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin.internal;

/**
 * Blocks threads while it is closed.
 *
 * <p>Safe for use by several threads.
 *
 * @since 0.1
 */
public final class Gate {
  private boolean closed;

  /**
   * Closes or opens the gate.
   *
   * @param value true to block threads, false to release them
   */
  public synchronized void setClosed(boolean value) {
    closed = value;
    notifyAll();
  }

  /**
   * Waits until the gate is open.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public synchronized void awaitOpen() throws InterruptedException {
    while (closed) {
      wait();
    }
  }
}
