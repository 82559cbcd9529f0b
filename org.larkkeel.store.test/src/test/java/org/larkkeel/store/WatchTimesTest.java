/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/**
 * How long watches wait.
 *
 * <p>Seen: a change ended the watches of all eight nodes, which began anew together; half a second
 * later the store fell silent for 4.3 s without a connection that ended. No node saw a change for
 * 16 s, and one sent a call to an upstream that had announced 2.85 s before that it leaves.
 */
public class WatchTimesTest {
  private static final Duration LONGEST = Duration.ofSeconds(15);

  /** How long the silence lasted, and the store counts as unstable, and what is left of 2 s. */
  private static final Duration NEEDED = Duration.ofMillis(6_400);

  /** Watches of nodes that begin together. */
  public static class OfManyNodes {
    @Test
    public void endSoonOnOneOfThem() {
      int late = 0;
      for (int fleet = 0; fleet < 1_000; fleet++) {
        Duration least = LONGEST;
        for (int node = 0; node < 8; node++) {
          WatchTimes times =
              WatchTimes.spread(LONGEST, new SplittableRandom(1_000L * node + fleet));
          Duration next = times.next();
          assertTrue(next.compareTo(LONGEST) <= 0 && next.toMillis() >= 2_250, next.toString());
          least = next.compareTo(least) < 0 ? next : least;
        }
        late += least.compareTo(NEEDED) > 0 ? 1 : 0;
      }
      assertTrue(late <= 5, late + " of 1000");
    }
  }

  /** Watches of one node alone. */
  public static class OfOneNode {
    @Test
    public void mayAllLastTheSame() {
      WatchTimes times = WatchTimes.always(LONGEST);
      assertEquals(times.next(), LONGEST);
      assertEquals(times.next(), LONGEST);
    }
  }
}
