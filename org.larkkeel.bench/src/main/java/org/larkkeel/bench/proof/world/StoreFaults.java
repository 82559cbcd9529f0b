/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.world;

/**
 * The faults of the platform's store that are active. Each fault is counted, so that overlapping
 * periods of the same fault end with the last of them.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class StoreFaults {
  private int outages;
  private int slow;
  private int losses;

  void setDown(boolean active) {
    outages += active ? 1 : -1;
  }

  void setSlow(boolean active) {
    slow += active ? 1 : -1;
  }

  void setLosingAnswers(boolean active) {
    losses += active ? 1 : -1;
  }

  boolean isDown() {
    return outages > 0;
  }

  boolean isSlow() {
    return slow > 0;
  }

  /** Returns whether the answers to writes are lost although the writes take effect. */
  boolean isLosingAnswers() {
    return losses > 0;
  }
}
