/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import org.larkkeel.bench.experiment.RunResult.ClassResult;
import org.larkkeel.bench.experiment.Summary.Spread;
import org.larkkeel.bench.experiment.scenario.Capacity;
import org.larkkeel.bench.experiment.scenario.Scenario;

/**
 * The result tables of an experiment in Markdown.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param scenario the scenario that was run
 * @param capacity the fluid limits of the scenario
 * @param summaries the results
 */
record Report(Scenario scenario, Capacity capacity, List<Summary> summaries) {
  private static final double PERCENT = 100;

  void print(PrintStream out) {
    out.printf(
        Locale.ROOT,
        "%s: fluid limit %.2f completions/s (prefill %.2f, transfer %.2f, decode %.2f), %d"
            + " seeds, %.0f s, %d nodes%s%n%n",
        scenario.name(),
        capacity.completionsPerSecond(),
        capacity.prefill(),
        capacity.transfer(),
        capacity.decode(),
        scenario.seeds().size(),
        (double) scenario.duration() / Scenario.NANOS_PER_SECOND,
        scenario.nodes(),
        scenario.sharedSlots() ? " sharing slots" : "");
    out.println(
        "| load | policy | goodput/s (min-max) | of bound % (min-max) | bound of fluid % | wasted"
            + " prefill % (min-max) | no slot | busy while work waits, % | broken promises |");
    out.println("|---|---|---|---|---|---|---|---|---|");
    for (Summary s : summaries) {
      out.printf(
          Locale.ROOT,
          "| %.2f | %s | %s | %s | %.1f | %s | %.0f | %s | %s |%n",
          s.load(),
          s.policy(),
          format(s.goodput(), 1, 2),
          format(s.ofBound(), PERCENT, 1),
          PERCENT * s.boundOfFluid().mean(),
          format(s.wasted(), PERCENT, 2),
          s.noSlots().mean(),
          busy(s),
          s.violations().isEmpty() ? "none" : s.violations());
    }
    out.println();
    printClasses(out);
  }

  private void printClasses(PrintStream out) {
    out.println(
        "| load | policy | class | offered | good % | late | refused | left |"
            + " first p50/p95/p99 ms | between p50/p95/p99 ms |");
    out.println("|---|---|---|---|---|---|---|---|---|---|");
    for (Summary s : summaries) {
      for (Scenario.RequestClass kind : scenario.classes()) {
        Classes c = new Classes(s.runs().stream().map(r -> r.classes().get(kind.name())).toList());
        out.printf(
            Locale.ROOT,
            "| %.2f | %s | %s | %.0f | %.1f | %.0f | %s | %.0f | %s | %s |%n",
            s.load(),
            s.policy(),
            kind.name(),
            c.mean(ClassResult::offered),
            c.goodPercent(),
            c.mean(ClassResult::late),
            c.refused(),
            c.mean(ClassResult::left),
            c.percentiles(ClassResult::firstMillis),
            c.percentiles(ClassResult::betweenMillis));
      }
    }
    out.println();
  }

  private static String busy(Summary summary) {
    Map<String, Double> sums = new TreeMap<>();
    Map<String, Integer> counts = new TreeMap<>();
    for (RunResult run : summary.runs()) {
      run.busy().forEach((key, share) -> sums.merge(key, share, Double::sum));
      run.busy().keySet().forEach(key -> counts.merge(key, 1, Integer::sum));
    }
    return String.join(
        ", ",
        sums.entrySet().stream()
            .map(
                e -> e.getKey() + " " + Math.round(PERCENT * e.getValue() / counts.get(e.getKey())))
            .toList());
  }

  private static String format(Spread spread, double scale, int digits) {
    String one = "%." + digits + "f";
    return String.format(
        Locale.ROOT,
        one + " (" + one + "-" + one + ")",
        scale * spread.mean(),
        scale * spread.min(),
        scale * spread.max());
  }

  /** The results of one class over all seeds. */
  private record Classes(List<ClassResult> runs) {
    double mean(ToDoubleFunction<ClassResult> value) {
      return runs.stream().mapToDouble(value).average().orElse(0);
    }

    double goodPercent() {
      double offered = mean(ClassResult::offered);
      return offered == 0 ? PERCENT : PERCENT * mean(ClassResult::good) / offered;
    }

    String refused() {
      Map<String, Integer> sum = new TreeMap<>();
      runs.forEach(r -> r.refused().forEach((kind, n) -> sum.merge(kind, n, Integer::sum)));
      StringBuilder text = new StringBuilder();
      sum.forEach(
          (kind, n) ->
              text.append(text.isEmpty() ? "" : ", ")
                  .append(kind)
                  .append(' ')
                  .append(Math.round((double) n / runs.size())));
      return text.isEmpty() ? "0" : text.toString();
    }

    String percentiles(Function<ClassResult, RunResult.Percentiles> of) {
      return String.format(
          Locale.ROOT,
          "%.0f/%.0f/%.0f",
          mean(r -> of.apply(r).p50()),
          mean(r -> of.apply(r).p95()),
          mean(r -> of.apply(r).p99()));
    }
  }
}
