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
 * Judges one phase by what the callers saw and by what the service ran.
 *
 * @param result what the callers saw
 * @param ordersRun orders that the service ran
 * @param doubled those that it ran more than once
 * @param untruthful those that it ran though their caller was told that they did not run
 */
record PhaseVerdict(RemoteLoad.Result result, long ordersRun, long doubled, long untruthful) {
  /** Judges; {@code runs} has the number of executions by the reference of an order. */
  static PhaseVerdict of(RemoteLoad.Result result, JsonNode runs) {
    long doubled = Streams.stream(runs).filter(n -> n.asInt() > 1).count();
    long untruthful = result.toldNotRun().stream().filter(runs::has).count();
    return new PhaseVerdict(result, runs.size(), doubled, untruthful);
  }

  /**
   * Whether every request came to a whole and truthful end.
   *
   * @param uncut demand also that no connection failed and no attempt was left in doubt
   * @param unaffected demand also that no attempt of a repeatable request was refused
   */
  boolean passed(boolean uncut, boolean unaffected) {
    return whole()
        && doubled == 0
        && untruthful == 0
        && !(uncut && cut())
        && !(unaffected && result.repeatableRefused() > 0);
  }

  private boolean whole() {
    return result.sent() > 0
        && result.wrong() == 0
        && result.lost() == 0
        && result.answered() + result.refused() == result.sent();
  }

  private boolean cut() {
    return result.unreached() > 0 || result.broken() > 0 || result.mayHaveRun() > 0;
  }

  /** All counts as key=value pairs. */
  String line() {
    return result.line()
        + " orders_run="
        + ordersRun
        + " doubled="
        + doubled
        + " untruthful="
        + untruthful;
  }
}
