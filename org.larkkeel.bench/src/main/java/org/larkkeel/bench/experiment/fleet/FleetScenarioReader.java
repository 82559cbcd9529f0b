/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fleet;

import com.google.common.collect.ImmutableList;
import org.larkkeel.bench.experiment.fleet.FleetScenario.Burst;
import org.larkkeel.bench.experiment.fleet.FleetScenario.Calls;
import org.larkkeel.bench.experiment.fleet.FleetScenario.Dark;
import org.larkkeel.bench.experiment.fleet.FleetScenario.Engines;
import org.larkkeel.bench.experiment.fleet.FleetScenario.NodeFault;
import org.larkkeel.bench.experiment.fleet.FleetScenario.Nodes;
import org.larkkeel.bench.experiment.fleet.FleetScenario.Plain;
import org.larkkeel.bench.experiment.fleet.FleetScenario.PlainLimit;
import org.larkkeel.bench.experiment.scenario.Fields;
import org.larkkeel.bench.experiment.scenario.ScenarioException;

/**
 * Reads scenarios of fleets in JSON with comments.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class FleetScenarioReader {
  private static final int MOST_NODES = 2_000;
  private static final int MOST_UPSTREAMS = 5_000;
  private static final int MOST_SLOTS = 10_000;
  private static final int MOST_TOKENS = 10_000_000;
  private static final int MOST_BLOCK = 4_096;
  private static final int MOST_RETURNS = 10;
  private static final int MOST_REQUESTS = 100;
  private static final double MOST_MILLIS = 3_600_000;
  private static final double MOST_SECONDS = 3_600;
  private static final double MOST_RATE = 1_000_000;

  private FleetScenarioReader() {}

  /**
   * Reads a scenario.
   *
   * @param text the file's text
   * @throws ScenarioException if the text is malformed or a field is not valid
   */
  public static FleetScenario read(String text) {
    Fields f = Fields.parse(text, "fleet");
    FleetScenario scenario =
        new FleetScenario(
            nodes(f.object("nodes")),
            engines(f.object("engines")),
            plain(f.object("plain")),
            f.list("calls", FleetScenarioReader::calls),
            f.list("bursts", FleetScenarioReader::burst),
            f.has("dark") ? f.list("dark", FleetScenarioReader::dark) : ImmutableList.of(),
            f.has("nodeFaults")
                ? f.list("nodeFaults", FleetScenarioReader::nodeFault)
                : ImmutableList.of(),
            f.has("plainLimits")
                ? f.list("plainLimits", FleetScenarioReader::plainLimit)
                : ImmutableList.of(),
            f.number("seconds", 0.1, MOST_SECONDS));
    f.finish();
    check(scenario, f);
    return scenario;
  }

  private static void check(FleetScenario s, Fields f) {
    if (s.calls().isEmpty()) {
      throw f.error("calls", "[]", "name at least one kind of call");
    }
    boolean plain = s.calls().stream().anyMatch(c -> !c.isStream());
    if (plain && s.plain().count() == 0) {
      throw f.error("plain.count", 0, "write 1 or more, as there are calls without a prompt");
    }
    for (NodeFault fault : s.nodeFaults()) {
      if (fault.first() + fault.count() > s.nodes().count()) {
        throw f.error(
            "nodeFaults.count",
            fault.count(),
            "write "
                + (s.nodes().count() - fault.first())
                + " or less, as there are no more nodes");
      }
    }
    long largest =
        s.calls().stream()
            .mapToLong(c -> (long) (FleetScenario.LARGEST * c.promptTokens()) + c.mostOutput() + 1)
            .max()
            .orElse(0);
    if (largest > s.engines().memoryTokens()) {
      throw f.error(
          "engines.memoryTokens",
          s.engines().memoryTokens(),
          "write " + largest + " or more, which the largest call needs");
    }
  }

  private static NodeFault nodeFault(Fields f) {
    return new NodeFault(
        f.choice("kind", NodeFaultKind.class),
        f.number("atSecond", 0, MOST_SECONDS),
        f.number("seconds", 1e-3, MOST_SECONDS),
        f.integer("first", 0, MOST_NODES, 0),
        f.integer("count", 1, MOST_NODES, 1));
  }

  private static PlainLimit plainLimit(Fields f) {
    return new PlainLimit(
        f.number("atSecond", 0, MOST_SECONDS),
        f.number("seconds", 0, MOST_SECONDS),
        f.integer("count", 1, MOST_UPSTREAMS, 1),
        f.number("perSecond", 1e-3, MOST_RATE));
  }

  private static Dark dark(Fields f) {
    return new Dark(
        f.number("atSecond", 0, MOST_SECONDS),
        f.number("seconds", 0, MOST_SECONDS),
        f.integer("prefill", 0, MOST_UPSTREAMS, 0),
        f.integer("decode", 0, MOST_UPSTREAMS, 0));
  }

  private static Nodes nodes(Fields f) {
    Nodes nodes =
        new Nodes(
            f.integer("count", 1, MOST_NODES, 7),
            f.integer("allocatorFrom", 2, Integer.MAX_VALUE, 16),
            f.number("datagramMillis", 0, MOST_MILLIS, 1),
            f.number("datagramLoss", 0, 1, 0),
            f.number("upstreamMillis", 0, MOST_MILLIS, 0.5));
    f.finish();
    return nodes;
  }

  private static Engines engines(Fields f) {
    Engines engines =
        new Engines(
            f.integer("prefill", 0, MOST_UPSTREAMS, 0),
            f.integer("decode", 1, MOST_UPSTREAMS, 1),
            f.integer("slots", 1, MOST_SLOTS, 64),
            f.integer("queue", 0, MOST_SLOTS, 2),
            (long) f.number("memoryTokens", 1, MOST_TOKENS),
            f.integer("blockTokens", 1, MOST_BLOCK, 16),
            f.number("stepMillis", 1e-3, MOST_MILLIS),
            f.number("stepMillisPerRequest", 0, MOST_MILLIS, 0),
            f.number("promptTokensPerMilli", 1e-3, MOST_TOKENS),
            f.integer("chunkTokens", 4, MOST_TOKENS, 2_048),
            f.number("transferMillisPerThousand", 0, MOST_MILLIS, 0),
            f.number("handleMillis", 1, MOST_MILLIS, 500),
            f.integer("tokensPerEvent", 1, MOST_TOKENS, 64),
            f.number("downMillis", 1, MOST_MILLIS, 2_500));
    f.finish();
    return engines;
  }

  private static Plain plain(Fields f) {
    Plain plain =
        new Plain(
            f.integer("count", 0, MOST_UPSTREAMS, 0),
            f.integer("slots", 1, MOST_SLOTS, 6),
            f.integer("queue", 0, MOST_SLOTS, 24),
            f.number("workMillis", 1e-3, MOST_MILLIS, 20));
    f.finish();
    return plain;
  }

  private static Calls calls(Fields f) {
    int prompt = f.integer("promptTokens", 0, MOST_TOKENS, 0);
    return new Calls(
        f.text("name"),
        f.number("perSecond", 0, MOST_RATE),
        prompt,
        f.integer("outputTokens", prompt == 0 ? 0 : 1, MOST_TOKENS, prompt == 0 ? 0 : 640),
        f.number("targetMillis", 1, MOST_MILLIS),
        f.number("gapMillis", 0, MOST_MILLIS, 0),
        f.number("deadlineMillis", 1, MOST_MILLIS),
        f.integer("returns", 0, MOST_RETURNS, 1),
        f.number("worth", 0, MOST_RATE, 1),
        f.number("worthLate", 0, MOST_RATE, 0),
        f.integer("crashing", 0, prompt == 0 ? 0 : MOST_REQUESTS, 0));
  }

  private static Burst burst(Fields f) {
    return new Burst(
        f.number("atSecond", 0, MOST_SECONDS),
        f.number("seconds", 0, MOST_SECONDS),
        f.number("times", 0, MOST_RATE));
  }
}
