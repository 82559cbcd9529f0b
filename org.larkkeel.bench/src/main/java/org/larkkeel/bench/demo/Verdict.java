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
 * Compares what callers saw with what the upstreams did. Immutable and safe for use by several
 * threads.
 */
record Verdict(
    Tally.Snapshot seen,
    long duplicated,
    long untruthful,
    int heldSlots,
    long prefilledTokens,
    long wastedTokens,
    double seconds) {
  private static final double MICROS_PER_MILLI = 1_000;
  private static final double[] PERCENTILES = {50, 95, 99};

  static Verdict of(Tally.Snapshot seen, DemoCluster cluster, int heldSlots, double seconds) {
    ServiceLedger.Snapshot service = cluster.service().ledger().snapshot();
    long untruthful = seen.toldNotRun().stream().filter(service.byReference()::containsKey).count();
    long prefilled = 0;
    long wasted = 0;
    for (var engine : cluster.engines().values()) {
      EngineLedger.Snapshot ledger = engine.ledger().snapshot();
      prefilled += ledger.prefilledTokens();
      wasted += ledger.wastedPrefillTokens();
    }
    return new Verdict(
        seen, service.duplicated(), untruthful, heldSlots, prefilled, wasted, seconds);
  }

  /** Whether nothing was lost, wrong or doubled, and no engine holds anything. */
  boolean passed() {
    return seen.sent() > 0
        && seen.ended() == seen.sent()
        && seen.count(Outcome.WRONG) == 0
        && seen.count(Outcome.LOST) == 0
        && duplicated == 0
        && untruthful == 0
        && heldSlots == 0;
  }

  /** One line of key=value figures; times in milliseconds. */
  String line() {
    StringJoiner line = new StringJoiner(" ");
    line.add("sent=" + seen.sent());
    line.add("answered=" + seen.count(Outcome.ANSWERED));
    line.add("refused=" + seen.count(Outcome.REFUSED));
    seen.refusals().forEach((kind, n) -> line.add("refused_" + kind + "=" + n));
    line.add("lost=" + (seen.count(Outcome.LOST) + seen.sent() - seen.ended()));
    line.add("wrong=" + seen.count(Outcome.WRONG));
    line.add("duplicated=" + duplicated);
    line.add("untruthful=" + untruthful);
    line.add("held_slots=" + heldSlots);
    line.add("retried=" + seen.retried());
    line.add("goodput_per_second=" + number(seen.withinTargets() / seconds));
    line.add("prefill_tokens=" + prefilledTokens);
    line.add("wasted_prefill_tokens=" + wastedTokens);
    line.add(
        "wasted_prefill_share="
            + number(prefilledTokens == 0 ? 0 : (double) wastedTokens / prefilledTokens));
    percentiles(line, "first_token_ms", seen.first());
    percentiles(line, "between_tokens_ms", seen.between());
    percentiles(line, "plain_ms", seen.plain());
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
