/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.capacity;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The command {@code ./capacity}: measures how the costs of a node grow with the size of a
 * deployment. It prints each sample, and the slope of each series, as one line of key=value pairs.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class CapacityCommand {
  private static final String RELAY = "--relay";

  private final PrintStream out;
  private final List<Sample> samples = new ArrayList<>();

  private CapacityCommand(PrintStream out) {
    this.out = out;
  }

  /**
   * Runs the command.
   *
   * @param args {@value #RELAY} to measure only the relay's reducer, or none
   * @throws Exception if a node can't be started
   */
  public static void main(String[] args) throws Exception {
    boolean relayOnly = args.length == 1 && args[0].equals(RELAY);
    if (args.length > 0 && !relayOnly) {
      System.err.println(
          "capacity takes either "
              + RELAY
              + " or no argument, but got \""
              + args[0]
              + "\"; use one of the two");
      System.exit(2);
    }
    new CapacityCommand(System.out).run(relayOnly);
  }

  private void run(boolean relayOnly) throws Exception {
    add(new RelaySlopes().measure());
    if (!relayOnly) {
      add(new RouterSlopes().measure());
      add(new NodeSlopes().measure());
    }
    slopes().forEach(this::print);
  }

  private void add(Collection<Sample> measured) {
    measured.forEach(this::print);
    samples.addAll(measured);
  }

  private List<Slope> slopes() {
    Map<String, List<Sample>> series = new LinkedHashMap<>();
    for (Sample sample : samples) {
      series.computeIfAbsent(sample.series() + sample.by(), k -> new ArrayList<>()).add(sample);
    }
    return series.values().stream().map(Slope::of).toList();
  }

  private void print(Sample sample) {
    out.printf(
        Locale.ROOT,
        "sample series=%s by=%s size=%.0f value=%.3f unit=%s%n",
        sample.series(),
        sample.by(),
        sample.size(),
        sample.value(),
        sample.unit());
  }

  private void print(Slope slope) {
    out.printf(
        Locale.ROOT,
        "slope series=%s by=%s base=%.3f per_one=%.5f r2=%.3f unit=%s%n",
        slope.series(),
        slope.by(),
        slope.base(),
        slope.perOne(),
        slope.fit(),
        slope.unit());
  }
}
