/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.Streams;
import org.larkkeel.bench.demo.RemoteLoad;

/**
 * The result of one phase of a soak test, from the callers' observations and the runs of the
 * service.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param result the callers' observations
 * @param ordersRun the number of orders that the service ran
 * @param duplicated the number of orders that the service ran more than once
 * @param untruthful the number of orders that the service ran although they were refused as not run
 */
record PhaseVerdict(RemoteLoad.Result result, long ordersRun, long duplicated, long untruthful) {
  /**
   * Creates the result of a phase. {@code runs} maps the reference of each order to its number of
   * executions.
   */
  static PhaseVerdict of(RemoteLoad.Result result, JsonNode runs) {
    long doubled = Streams.stream(runs).filter(n -> n.asInt() > 1).count();
    long untruthful = result.refusedAsNotRun().stream().filter(runs::has).count();
    return new PhaseVerdict(result, runs.size(), doubled, untruthful);
  }

  /**
   * Returns whether every request ended with a correct answer or a truthful refusal.
   *
   * @param uncut also requires that no connection failed and that no refused attempt may have run
   * @param unaffected also requires that no attempt of a repeatable request was refused
   */
  boolean passed(boolean uncut, boolean unaffected) {
    return isComplete()
        && duplicated == 0
        && untruthful == 0
        && !(uncut && hasFailedAttempts())
        && !(unaffected && result.repeatableRefused() > 0);
  }

  private boolean isComplete() {
    return result.sent() > 0
        && result.wrong() == 0
        && result.lost() == 0
        && result.answered() + result.refused() == result.sent();
  }

  private boolean hasFailedAttempts() {
    return result.unreached() > 0 || result.broken() > 0 || result.mayHaveRun() > 0;
  }

  /** Returns all counts as key=value pairs. */
  String line() {
    return result.line()
        + " orders_run="
        + ordersRun
        + " doubled="
        + duplicated
        + " untruthful="
        + untruthful;
  }
}
