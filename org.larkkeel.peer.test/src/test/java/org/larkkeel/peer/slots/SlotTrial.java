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
 * Measures in virtual time how far and how long two owners overbook one upstream while nodes
 * disagree on the owner, and the number of messages. Prints one line per setting and duration of
 * the disagreement. A program, not a test.
 */
public final class SlotTrial {
  private static final int CAPACITY = 20;
  private static final int[] DISAGREEMENT_MILLIS = {0, 500, 1_000, 3_000, 8_000};
  private static final long NANOS_AFTER_AGREEMENT = 20_000 * MILLI;
  private static final long MIN_RUN_NANOS = 1_000 * MILLI;
  private static final long MAX_RUN_NANOS = 5_000 * MILLI;

  private SlotTrial() {}

  /**
   * Runs the trials.
   *
   * @param args unused
   */
  public static void main(String[] args) {
    System.out.println(
        "mode nodes report disagree_ms worst_in_use over_slot_seconds over_ms served messages");
    for (int disagreement : DISAGREEMENT_MILLIS) {
      for (boolean reports : new boolean[] {false, true}) {
        measure("per-request", SlotSettings.perRequest(), 8, 5, disagreement, reports);
        measure("standing", SlotSettings.followingDemand(), 330, 200, disagreement, reports);
      }
    }
  }

  private static void measure(
      String mode, SlotSettings settings, int nodes, int flush, int disagreement, boolean reports) {
    SlotSim sim = new SlotSim(settings, nodes, 2, CAPACITY, 3);
    sim.minRunNanos = MIN_RUN_NANOS;
    sim.maxRunNanos = MAX_RUN_NANOS;
    Random random = new Random(4);
    AtomicLong requests = new AtomicLong();
    long[] overbooking = new long[3];
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
          overbooking[0] = Math.max(overbooking[0], sim.inUse());
          overbooking[1] += Math.max(0, excess);
          overbooking[2] += excess > 0 ? 1 : 0;
        };
    sim.run(20_000 * MILLI, flush, load);
    // Half of the nodes switch to the new owner at once, the others after the disagreement.
    for (int i = 0; i < nodes / 2; i++) {
      sim.nodes.get(i).setOwner(1);
    }
    sim.run(disagreement * MILLI, flush, load);
    for (int i = nodes / 2; i < nodes; i++) {
      sim.nodes.get(i).setOwner(1);
    }
    sim.run(NANOS_AFTER_AGREEMENT, flush, load);
    int served = sim.nodes.stream().mapToInt(node -> node.acquired).sum();
    System.out.printf(
        Locale.ROOT,
        "%s %d %s %d %d %.2f %d %d %d%n",
        mode,
        nodes,
        reports ? "0.5s" : "none",
        disagreement,
        overbooking[0],
        overbooking[1] / 1_000.0,
        overbooking[2],
        served,
        sim.messages);
  }
}
