/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.limits;

import java.util.Locale;

/**
 * Measures in virtual time the deviation of the admitted rate from the limit over many nodes, and
 * the number of messages. A program, not a test.
 */
public final class LimitTrial {
  private static final int SECONDS = 60;
  private static final int LIMIT = 100;

  private LimitTrial() {}

  /**
   * Runs the trials.
   *
   * @param args unused
   */
  public static void main(String[] args) {
    System.out.println(
        "nodes loss offered/s admitted/s error% refused/s messages/s messages/request");
    for (int nodes : new int[] {1, 8, 330}) {
      for (double loss : new double[] {0, 0.2}) {
        for (int offered : new int[] {50, 95, 150, 1_000}) {
          measure(nodes, loss, offered);
        }
      }
    }
  }

  private static void measure(int nodes, double loss, int offered) {
    LimitTest.Sim sim = new LimitTest.Sim(nodes, new RateLimit(LIMIT, 1_000_000));
    sim.lossProbability = loss;
    sim.run(SECONDS, offered, 10);
    double admitted = (double) sim.admitted / SECONDS;
    double error = 100.0 * (admitted - Math.min(LIMIT, offered)) / Math.min(LIMIT, offered);
    System.out.printf(
        Locale.ROOT,
        "%d %.2f %d %.1f %.2f %.1f %.1f %.2f%n",
        nodes,
        loss,
        offered,
        admitted,
        error,
        (double) sim.refused / SECONDS,
        (double) sim.messages / SECONDS,
        (double) sim.messages / SECONDS / offered);
  }
}
