/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fleet;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Counts the calls of one kind by outcome. Not safe for use by several threads. */
final class CallLedger {
  private static final double NANOS_PER_MILLI = 1e6;

  private final FleetScenario.CallClass kind;
  private final Map<CallOutcome, Integer> outcomes = new EnumMap<>(CallOutcome.class);
  private final List<Long> firstEventNanos = new ArrayList<>();
  private int started;
  private int ended;

  CallLedger(FleetScenario.CallClass kind) {
    this.kind = kind;
  }

  void started() {
    started++;
  }

  void ended(Caller caller, CallOutcome outcome) {
    ended++;
    outcomes.merge(outcome, 1, Integer::sum);
    if (outcome == CallOutcome.IN_TIME || outcome == CallOutcome.LATE) {
      firstEventNanos.add(caller.firstEventNanos());
    }
  }

  /**
   * Returns the totals.
   *
   * @throws IllegalStateException if a call has no outcome
   */
  FleetResult.Kind close() {
    if (started != ended) {
      throw new IllegalStateException(
          "calls of kind %s without an outcome: %d started, %d ended"
              .formatted(kind.name(), started, ended));
    }
    Collections.sort(firstEventNanos);
    int inTime = outcomes.getOrDefault(CallOutcome.IN_TIME, 0);
    int late = outcomes.getOrDefault(CallOutcome.LATE, 0);
    return new FleetResult.Kind(
        kind.name(),
        started,
        ImmutableMap.copyOf(outcomes),
        quantile(0.5),
        quantile(0.99),
        inTime * kind.worth() + late * kind.worthLate(),
        started * kind.worth());
  }

  private double quantile(double share) {
    if (firstEventNanos.isEmpty()) {
      return 0;
    }
    int index = Math.min(firstEventNanos.size() - 1, (int) (share * firstEventNanos.size()));
    return firstEventNanos.get(index) / NANOS_PER_MILLI;
  }
}
