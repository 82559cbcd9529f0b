/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.scenario;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.larkkeel.bench.experiment.scenario.Members.Member;
import org.larkkeel.bench.experiment.scenario.Scenario.Fault;
import org.larkkeel.bench.experiment.scenario.Scenario.FaultType;

/**
 * Draws the times and upstreams of the faults of one run.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class FaultPlan {
  private FaultPlan() {}

  /**
   * One fault.
   *
   * @param type the type of fault
   * @param from the start in nanoseconds
   * @param until the end in nanoseconds
   * @param upstream the affected upstream; empty for the store
   */
  public record Occurrence(FaultType type, long from, long until, String upstream) {}

  /**
   * Draws the faults.
   *
   * @param scenario the scenario
   * @param seed the seed
   * @return the faults in the order of their start
   */
  public static ImmutableList<Occurrence> draw(Scenario scenario, long seed) {
    SplittableRandom random = new SplittableRandom(~seed);
    List<Occurrence> drawn = new ArrayList<>();
    for (Fault fault : scenario.faults()) {
      long at = Scenario.ARRIVALS_START_NANOS + fault.at();
      do {
        drawn.add(
            new Occurrence(
                fault.type(), at, at + fault.duration(), chooseUpstream(scenario, fault, random)));
        at += fault.period();
      } while (fault.period() > 0 && at < scenario.end());
    }
    drawn.sort(Comparator.comparingLong(Occurrence::from));
    return ImmutableList.copyOf(drawn);
  }

  private static String chooseUpstream(Scenario scenario, Fault fault, SplittableRandom random) {
    if (fault.type() == FaultType.STORE_DOWN || !fault.upstream().isEmpty()) {
      return fault.upstream();
    }
    List<Member> members = Members.of(scenario, fault.role());
    return members.isEmpty() ? "" : members.get(random.nextInt(members.size())).name();
  }
}
