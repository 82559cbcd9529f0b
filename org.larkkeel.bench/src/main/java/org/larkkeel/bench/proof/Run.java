/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.larkkeel.bench.proof.world.Callers;
import org.larkkeel.bench.proof.world.Callers.Part;
import org.larkkeel.bench.proof.world.Configurations;
import org.larkkeel.bench.proof.world.Injection;
import org.larkkeel.bench.proof.world.Place;
import org.larkkeel.bench.proof.world.VirtualTime;
import org.larkkeel.bench.proof.world.World;

/**
 * One run of a scenario with faults, up to its verdict.
 *
 * @param places the places that the subject reached
 * @param injected whether every fault came about
 * @param violations promises that were broken
 * @since 0.1
 */
public record Run(
    ImmutableSet<Place> places, boolean injected, ImmutableList<Violation> violations) {
  private static final long UNTIL_PROBES = 32 * VirtualTime.SECOND;
  private static final long AFTER_PROBES = 6 * VirtualTime.SECOND;
  private static final long BETWEEN_BATCHES = 2 * VirtualTime.SECOND;
  private static final int PROBES = 2;
  private static final int PROBE_BATCHES = 2;

  /**
   * Runs a scenario.
   *
   * @param scenario the scenario
   * @param injections the faults
   * @param seed the seed of everything that happens by chance
   * @return what came of it
   */
  public static Run of(Scenario scenario, ImmutableList<Injection> injections, long seed) {
    World world = new World(seed, injections);
    Callers callers = world.callers();
    callers.complete(Part.BYSTANDER, 1, Configurations.MODEL);
    callers.call(Part.BYSTANDER, 1, Configurations.READ);
    scenario.begin(world);
    world.runTo(World.START + UNTIL_PROBES);
    world.endFaults();
    callers.callOnce(Part.PROBE, 1, "order-last");
    for (int batch = 0; batch < PROBE_BATCHES; batch++) {
      probe(callers);
      world.run(BETWEEN_BATCHES);
    }
    world.run(AFTER_PROBES);
    long end = world.now();
    Checker checker = new Checker(world.seen(), end, world.healedAt());
    return new Run(ImmutableSet.copyOf(world.places()), world.hasInjectedAll(), checker.check());
  }

  /** Asks every node for more than a leak would leave it. */
  private static void probe(Callers callers) {
    for (int i = 0; i < PROBES * World.NODES; i++) {
      callers.complete(Part.PROBE, i, Configurations.MODEL);
      callers.call(Part.PROBE, i, Configurations.READ);
    }
  }
}
