/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.slots;

import static org.larkkeel.peer.slots.SlotSim.MILLI;

import java.util.Locale;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.larkkeel.peer.slots.SlotSim.Node;

/**
 * Measures in virtual time how far two owners overbook one upstream while nodes disagree, how long
 * it lasts, and what a slot costs in messages. Prints one line for each setting and time of
 * disagreement.
 */
public final class SlotTrial {
  private static final int CAPACITY = 20;
  private static final int[] DISAGREEMENTS = {0, 500, 1_000, 3_000, 8_000};
  private static final long AFTER = 20_000 * MILLI;
  private static final long SHORTEST = 1_000 * MILLI;
  private static final long LONGEST = 5_000 * MILLI;

  private SlotTrial() {}

  /**
   * Runs the trials.
   *
   * @param args unused
   */
  public static void main(String[] args) {
    System.out.println(
        "mode nodes report disagree_ms worst_in_use over_slot_seconds over_ms served messages");
    for (int disagreement : DISAGREEMENTS) {
      for (boolean reports : new boolean[] {false, true}) {
        measure("per-request", SlotSettings.perRequest(), 8, 5, disagreement, reports);
        measure("standing", SlotSettings.standing(), 330, 200, disagreement, reports);
      }
    }
  }

  private static void measure(
      String mode, SlotSettings settings, int nodes, int flush, int disagreement, boolean reports) {
    SlotSim sim = new SlotSim(settings, nodes, 2, CAPACITY, 3);
    sim.shortest = SHORTEST;
    sim.longest = LONGEST;
    Random random = new Random(4);
    AtomicLong requests = new AtomicLong();
    long[] over = new long[3];
    long[] lastReport = new long[1];
    Runnable load =
        () -> {
          if (random.nextDouble() < 0.01) {
            Node node = sim.nodes.get(random.nextInt(nodes));
            node.acquire(requests.incrementAndGet(), random.nextInt(3), 5_000 * MILLI);
          }
          if (reports && sim.now - lastReport[0] >= 500 * MILLI) {
            lastReport[0] = sim.now;
            int running = sim.inUse();
            sim.owners.forEach(
                owner -> owner.on(new SlotEvent.Capacity(sim.now, CAPACITY, running)));
          }
          int excess = sim.inUse() - CAPACITY;
          over[0] = Math.max(over[0], sim.inUse());
          over[1] += Math.max(0, excess);
          over[2] += excess > 0 ? 1 : 0;
        };
    sim.run(20_000 * MILLI, flush, load);
    // Half of the nodes learn of the new owner at once, the others after the disagreement.
    for (int i = 0; i < nodes / 2; i++) {
      sim.nodes.get(i).setOwner(1);
    }
    sim.run(disagreement * MILLI, flush, load);
    for (int i = nodes / 2; i < nodes; i++) {
      sim.nodes.get(i).setOwner(1);
    }
    sim.run(AFTER, flush, load);
    int served = sim.nodes.stream().mapToInt(node -> node.acquired).sum();
    System.out.printf(
        Locale.ROOT,
        "%s %d %s %d %d %.2f %d %d %d%n",
        mode,
        nodes,
        reports ? "0.5s" : "none",
        disagreement,
        over[0],
        over[1] / 1_000.0,
        over[2],
        served,
        sim.messages);
  }
}
