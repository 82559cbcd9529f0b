/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.world;

import java.util.SplittableRandom;

/**
 * What is wrong with messages between nodes now. Not safe for use by several threads.
 *
 * @since 0.1
 */
final class PeerFaults {
  private static final long ONE_WAY = VirtualTime.MILLI;
  private static final long DELAY = 1_500 * VirtualTime.MILLI;
  private static final long CROSSING = 400 * VirtualTime.MILLI;

  private final VirtualTime time;
  private final SplittableRandom random;
  private int lost;
  private int delayed;
  private int doubled;
  private int crossed;

  PeerFaults(VirtualTime time, long seed) {
    this.time = time;
    this.random = new SplittableRandom(seed);
  }

  void setLost(boolean begins) {
    lost += begins ? 1 : -1;
  }

  void setDelayed(boolean begins) {
    delayed += begins ? 1 : -1;
  }

  void setDoubled(boolean begins) {
    doubled += begins ? 1 : -1;
  }

  void setCrossed(boolean begins) {
    crossed += begins ? 1 : -1;
  }

  /** Delivers a message as the faults of now allow. */
  void send(VirtualTime.Process receiver, Runnable delivery) {
    if (lost > 0) {
      return;
    }
    int copies = doubled > 0 ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      long delay = ONE_WAY;
      if (delayed > 0) {
        delay += DELAY;
      }
      if (crossed > 0 || i > 0) {
        delay += random.nextLong(CROSSING);
      }
      receiver.at(time.now() + delay, delivery);
    }
  }
}
