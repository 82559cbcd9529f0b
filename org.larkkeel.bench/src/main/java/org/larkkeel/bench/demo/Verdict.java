/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.demo;

import java.util.Locale;
import java.util.StringJoiner;
import org.HdrHistogram.Histogram;
import org.larkkeel.standin.EngineLedger;
import org.larkkeel.standin.ServiceLedger;

/**
 * The result of a run of the demo, from the callers' observations and the ledgers of the upstreams.
 *
 * <p>Immutable and safe for use by several threads.
 */
record Verdict(
    Tally.Snapshot counts,
    long duplicated,
    long untruthful,
    int heldSlots,
    long prefilledTokens,
    long wastedTokens,
    double seconds) {
  private static final double MICROS_PER_MILLI = 1_000;
  private static final double[] PERCENTILES = {50, 95, 99};

  static Verdict of(Tally.Snapshot counts, DemoCluster cluster, int heldSlots, double seconds) {
    ServiceLedger.Snapshot service = cluster.service().ledger().snapshot();
    long untruthful =
        counts.refusedAsNotRun().stream().filter(service.byReference()::containsKey).count();
    long prefilled = 0;
    long wasted = 0;
    for (var engine : cluster.engines().values()) {
      EngineLedger.Snapshot ledger = engine.ledger().snapshot();
      prefilled += ledger.prefilledTokens();
      wasted += ledger.wastedPrefillTokens();
    }
    return new Verdict(
        counts, service.duplicated(), untruthful, heldSlots, prefilled, wasted, seconds);
  }

  /**
   * Returns whether requests were sent and all ended, none was lost, answered wrongly, run twice or
   * run although refused as not run, and no engine still holds a slot.
   */
  boolean passed() {
    return counts.sent() > 0
        && counts.ended() == counts.sent()
        && counts.count(Outcome.WRONG) == 0
        && counts.count(Outcome.LOST) == 0
        && duplicated == 0
        && untruthful == 0
        && heldSlots == 0;
  }

  /** Returns one line of key=value figures; times are in milliseconds. */
  String line() {
    StringJoiner line = new StringJoiner(" ");
    line.add("sent=" + counts.sent());
    line.add("answered=" + counts.count(Outcome.ANSWERED));
    line.add("refused=" + counts.count(Outcome.REFUSED));
    counts.refusals().forEach((kind, n) -> line.add("refused_" + kind + "=" + n));
    line.add("lost=" + (counts.count(Outcome.LOST) + counts.sent() - counts.ended()));
    line.add("wrong=" + counts.count(Outcome.WRONG));
    line.add("duplicated=" + duplicated);
    line.add("untruthful=" + untruthful);
    line.add("held_slots=" + heldSlots);
    line.add("retried=" + counts.retried());
    line.add("goodput_per_second=" + number(counts.withinTargets() / seconds));
    line.add("prefill_tokens=" + prefilledTokens);
    line.add("wasted_prefill_tokens=" + wastedTokens);
    line.add(
        "wasted_prefill_share="
            + number(prefilledTokens == 0 ? 0 : (double) wastedTokens / prefilledTokens));
    percentiles(line, "first_token_ms", counts.firstToken());
    percentiles(line, "between_tokens_ms", counts.tokenGap());
    percentiles(line, "plain_ms", counts.plain());
    line.add("result=" + (passed() ? "passed" : "failed"));
    return line.toString();
  }

  private static void percentiles(StringJoiner line, String name, Histogram micros) {
    for (double percentile : PERCENTILES) {
      double millis = micros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
      line.add(name + "_p" + (int) percentile + "=" + number(millis));
    }
  }

  private static String number(double value) {
    return String.format(Locale.ROOT, "%.2f", value);
  }
}
