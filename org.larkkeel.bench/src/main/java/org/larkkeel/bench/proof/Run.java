/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.larkkeel.bench.proof.world.Callers;
import org.larkkeel.bench.proof.world.Callers.Purpose;
import org.larkkeel.bench.proof.world.Configurations;
import org.larkkeel.bench.proof.world.Injection;
import org.larkkeel.bench.proof.world.InjectionPoint;
import org.larkkeel.bench.proof.world.VirtualTime;
import org.larkkeel.bench.proof.world.World;

/**
 * The result of one run of a scenario with injected faults.
 *
 * @param reachedPoints the injection points that the subject requests reached
 * @param allInjected true if every fault was injected
 * @param violations the promises that were broken
 * @since 0.1
 */
public record Run(
    ImmutableSet<InjectionPoint> reachedPoints,
    boolean allInjected,
    ImmutableList<Violation> violations) {
  private static final long FAULT_PHASE_NANOS = 32 * VirtualTime.SECOND;
  private static final long SETTLE_NANOS = 6 * VirtualTime.SECOND;
  private static final long BATCH_INTERVAL_NANOS = 2 * VirtualTime.SECOND;
  private static final int PROBES_PER_NODE = 2;
  private static final int PROBE_BATCHES = 2;

  /**
   * Runs a scenario, waits for the faults to end, sends probes and checks the promises.
   *
   * @param scenario the scenario
   * @param injections the faults
   * @param seed the seed of all random choices
   * @return the result
   */
  public static Run execute(Scenario scenario, ImmutableList<Injection> injections, long seed) {
    World world = new World(seed, injections);
    Callers callers = world.callers();
    callers.sendCompletion(Purpose.BYSTANDER, 1, Configurations.MODEL);
    callers.sendPlain(Purpose.BYSTANDER, 1, Configurations.READ);
    scenario.start(world);
    world.runTo(World.SCENARIO_START_NANOS + FAULT_PHASE_NANOS);
    world.disarmFaults();
    callers.sendKeyed(Purpose.PROBE, 1, "order-last");
    for (int batch = 0; batch < PROBE_BATCHES; batch++) {
      sendProbes(callers);
      world.run(BATCH_INTERVAL_NANOS);
    }
    world.run(SETTLE_NANOS);
    long end = world.now();
    Checker checker = new Checker(world.observations(), end, world.faultsEndedAt());
    return new Run(
        ImmutableSet.copyOf(world.reachedPoints()), world.hasInjectedAll(), checker.check());
  }

  /**
   * Sends enough requests to every node that a leak of slots or of limits would make some of them
   * fail.
   */
  private static void sendProbes(Callers callers) {
    for (int i = 0; i < PROBES_PER_NODE * World.NODES; i++) {
      callers.sendCompletion(Purpose.PROBE, i, Configurations.MODEL);
      callers.sendPlain(Purpose.PROBE, i, Configurations.READ);
    }
  }
}
