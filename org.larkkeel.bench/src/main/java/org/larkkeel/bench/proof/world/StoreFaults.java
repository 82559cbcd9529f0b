/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.world;

/**
 * What is wrong with the platform's store now. Not safe for use by several threads.
 *
 * @since 0.1
 */
final class StoreFaults {
  private int outages;
  private int slow;
  private int losses;

  void setDown(boolean begins) {
    outages += begins ? 1 : -1;
  }

  void setSlow(boolean begins) {
    slow += begins ? 1 : -1;
  }

  void setLosing(boolean begins) {
    losses += begins ? 1 : -1;
  }

  boolean isDown() {
    return outages > 0;
  }

  boolean isSlow() {
    return slow > 0;
  }

  /** Whether the answers to writes that take effect now are lost. */
  boolean isLosing() {
    return losses > 0;
  }
}
