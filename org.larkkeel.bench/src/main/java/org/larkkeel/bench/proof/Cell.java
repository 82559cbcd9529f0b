/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof;

import com.google.common.collect.ImmutableList;
import java.util.Locale;
import java.util.stream.Collectors;
import org.larkkeel.bench.proof.world.Injection;

/**
 * One entry of the fault matrix: a scenario and the faults that are injected at its steps.
 *
 * @param scenario the scenario
 * @param injections the faults, one or two; empty for a run without faults
 * @since 0.1
 */
public record Cell(Scenario scenario, ImmutableList<Injection> injections) {
  @Override
  public String toString() {
    return scenario.title()
        + ": "
        + injections.stream().map(Cell::describe).collect(Collectors.joining(", then "));
  }

  private static String describe(Injection injection) {
    String moment = injection.point().moment().name().toLowerCase(Locale.ROOT).replace('_', ' ');
    return injection.fault().title()
        + " "
        + moment
        + " of "
        + Steps.title(injection.point().step());
  }
}
