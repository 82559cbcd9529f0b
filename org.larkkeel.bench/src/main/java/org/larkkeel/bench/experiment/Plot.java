/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;
import org.larkkeel.bench.experiment.scenario.Scenario;

/**
 * Plots goodput and wasted prefill against load, with one line per policy.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class Plot {
  private static final int WIDTH = 600;
  private static final int HEIGHT = 440;
  private static final double PERCENT = 100;
  private static final String BOUND = "upper bound";

  private Plot() {}

  static void write(Path folder, Scenario scenario, List<Summary> summaries) throws IOException {
    String name = scenario.name();
    Files.createDirectories(folder);
    XYChart goodput = chart(name + ": goodput", "good completions/s");
    addPolicies(goodput, summaries, s -> s.goodput().mean());
    addBound(goodput, summaries, (double) scenario.duration() / Scenario.NANOS_PER_SECOND);
    XYChart wasted = chart(name + ": wasted prefill", "% of prefill tokens");
    addPolicies(wasted, summaries, s -> PERCENT * s.wasted().mean());
    BitmapEncoder.saveBitmap(
        List.of(goodput, wasted), 1, 2, folder.resolve(name + ".png").toString(), BitmapFormat.PNG);
  }

  private static XYChart chart(String title, String axis) {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(title)
            .xAxisTitle("load, relative to capacity")
            .yAxisTitle(axis)
            .build();
    chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideS);
    chart.getStyler().setYAxisMin(0.0);
    return chart;
  }

  private static void addPolicies(
      XYChart chart, List<Summary> summaries, ToDoubleFunction<Summary> value) {
    Map<String, List<Summary>> lines = new LinkedHashMap<>();
    for (Summary s : summaries) {
      lines.computeIfAbsent(s.policy(), p -> new ArrayList<>()).add(s);
    }
    lines.forEach((policy, points) -> addSeries(chart, policy, points, value));
  }

  private static void addBound(XYChart chart, List<Summary> summaries, double seconds) {
    String first = summaries.getFirst().policy();
    List<Summary> points = summaries.stream().filter(s -> s.policy().equals(first)).toList();
    addSeries(chart, BOUND, points, s -> bound(s) / seconds);
  }

  private static double bound(Summary summary) {
    return summary.runs().stream().mapToDouble(RunResult::bound).average().orElse(0);
  }

  private static void addSeries(
      XYChart chart, String name, List<Summary> points, ToDoubleFunction<Summary> value) {
    double[] loads = points.stream().mapToDouble(Summary::load).toArray();
    chart.addSeries(name, loads, points.stream().mapToDouble(value).toArray());
  }
}
