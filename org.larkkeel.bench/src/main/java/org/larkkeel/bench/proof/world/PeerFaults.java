/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.world;

import java.util.SplittableRandom;

/**
 * The faults of messages between nodes that are active. Each fault is counted, so that overlapping
 * periods of the same fault end with the last of them.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class PeerFaults {
  private static final long ONE_WAY_NANOS = VirtualTime.MILLI;
  private static final long DELAY_NANOS = 1_500 * VirtualTime.MILLI;
  private static final long MAX_REORDER_NANOS = 400 * VirtualTime.MILLI;

  private final VirtualTime time;
  private final SplittableRandom random;
  private int lost;
  private int delayed;
  private int duplicated;
  private int reordered;

  PeerFaults(VirtualTime time, long seed) {
    this.time = time;
    this.random = new SplittableRandom(seed);
  }

  void setLost(boolean active) {
    lost += active ? 1 : -1;
  }

  void setDelayed(boolean active) {
    delayed += active ? 1 : -1;
  }

  void setDuplicated(boolean active) {
    duplicated += active ? 1 : -1;
  }

  void setReordered(boolean active) {
    reordered += active ? 1 : -1;
  }

  /** Delivers a message, subject to the active faults. */
  void send(VirtualTime.Process receiver, Runnable delivery) {
    if (lost > 0) {
      return;
    }
    int copies = duplicated > 0 ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      long delay = ONE_WAY_NANOS;
      if (delayed > 0) {
        delay += DELAY_NANOS;
      }
      if (reordered > 0 || i > 0) {
        delay += random.nextLong(MAX_REORDER_NANOS);
      }
      receiver.at(time.now() + delay, delivery);
    }
  }
}
