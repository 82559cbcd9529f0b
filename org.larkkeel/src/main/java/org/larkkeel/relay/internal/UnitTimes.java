/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.HashMap;
import java.util.Map;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.Stage;

/**
 * The measured times of one unit of work, by service and stage.
 *
 * <p>Invariant: an estimate is of all upstreams of a service and stage together, and outlives their
 * incarnations. Not thread-safe.
 */
final class UnitTimes {
  /** The assumed time of one unit of work while nothing was measured. */
  private static final double INITIAL_UNIT_NANOS = 50e6;

  private static final double TYPICAL_LEARNING_RATE = 0.1;

  /**
   * The factor by which the fastest unit time grows with each answer, so that old values are
   * forgotten.
   */
  private static final double FASTEST_GROWTH = 1.005;

  private static final Stage[] STAGES = Stage.values();

  private final Map<ServiceStage, Double> typicalUnitNanos = new HashMap<>();
  private final Map<ServiceStage, Double> fastestUnitNanos = new HashMap<>();

  private record ServiceStage(ServiceName service, Stage stage) {}

  /** Records the measured time of one unit of work. */
  void record(UpstreamState state, long at, double nanosPerUnit) {
    state.recordUnitTime(at, nanosPerUnit);
    ServiceStage stage = serviceStage(state);
    double typical = typicalUnitNanos.getOrDefault(stage, nanosPerUnit);
    typicalUnitNanos.put(stage, typical + TYPICAL_LEARNING_RATE * (nanosPerUnit - typical));
    double fastest = fastestUnitNanos.getOrDefault(stage, nanosPerUnit);
    fastestUnitNanos.put(stage, Math.min(FASTEST_GROWTH * fastest, nanosPerUnit));
  }

  /**
   * Returns the time that a healthy upstream takes to prefill a prompt after its present load, in
   * nanoseconds; 0 while nothing was measured.
   */
  double prefillNanos(UpstreamState state, long prompt) {
    return fastestUnitNanos.getOrDefault(serviceStage(state), 0.0)
        * (state.totalLoad() + prompt)
        / 1_000;
  }

  /** Returns the estimated time of one unit of work at an upstream, in nanoseconds. */
  double estimate(UpstreamState state, long at) {
    return state.estimateUnitNanos(at, typical(serviceStage(state)));
  }

  /**
   * Returns the typical time of one unit of work at the upstreams of a service by the ordinal of
   * their stage, in nanoseconds.
   */
  double[] typicalByStage(ServiceName service) {
    double[] typical = new double[STAGES.length];
    for (Stage stage : STAGES) {
      typical[stage.ordinal()] = typical(new ServiceStage(service, stage));
    }
    return typical;
  }

  private double typical(ServiceStage stage) {
    return typicalUnitNanos.getOrDefault(stage, INITIAL_UNIT_NANOS);
  }

  private static ServiceStage serviceStage(UpstreamState state) {
    return new ServiceStage(state.upstream().service(), state.upstream().stage());
  }
}
