/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fleet;

import com.google.common.collect.ImmutableList;
import org.larkkeel.bench.experiment.fleet.FleetScenario.Burst;
import org.larkkeel.bench.experiment.fleet.FleetScenario.CallClass;
import org.larkkeel.bench.experiment.fleet.FleetScenario.EngineOutage;
import org.larkkeel.bench.experiment.fleet.FleetScenario.Engines;
import org.larkkeel.bench.experiment.fleet.FleetScenario.NodeFault;
import org.larkkeel.bench.experiment.fleet.FleetScenario.Nodes;
import org.larkkeel.bench.experiment.fleet.FleetScenario.Plain;
import org.larkkeel.bench.experiment.fleet.FleetScenario.PlainLimit;
import org.larkkeel.bench.experiment.scenario.Fields;
import org.larkkeel.bench.experiment.scenario.ScenarioException;

/**
 * Reads fleet scenarios from JSON with comments.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class FleetScenarioReader {
  private static final int MAX_NODES = 2_000;
  private static final int MAX_UPSTREAMS = 5_000;
  private static final int MAX_SLOTS = 10_000;
  private static final int MAX_TOKENS = 10_000_000;
  private static final int MAX_BLOCK_TOKENS = 4_096;
  private static final int MAX_RETRIES = 10;
  private static final int MAX_CRASHING_REQUESTS = 100;
  private static final double MAX_MILLIS = 3_600_000;
  private static final double MAX_SECONDS = 3_600;
  private static final double MAX_RATE = 1_000_000;

  private FleetScenarioReader() {}

  /**
   * Reads a scenario.
   *
   * @param text the content of the file
   * @throws ScenarioException if the text is malformed or a field is not valid
   */
  public static FleetScenario read(String text) {
    Fields f = Fields.parse(text, "fleet");
    FleetScenario scenario =
        new FleetScenario(
            nodes(f.object("nodes")),
            engines(f.object("engines")),
            plain(f.object("plain")),
            f.list("calls", FleetScenarioReader::callClass),
            f.list("bursts", FleetScenarioReader::burst),
            f.has("dark") ? f.list("dark", FleetScenarioReader::engineOutage) : ImmutableList.of(),
            f.has("nodeFaults")
                ? f.list("nodeFaults", FleetScenarioReader::nodeFault)
                : ImmutableList.of(),
            f.has("plainLimits")
                ? f.list("plainLimits", FleetScenarioReader::plainLimit)
                : ImmutableList.of(),
            f.number("seconds", 0.1, MAX_SECONDS));
    f.finish();
    validate(scenario, f);
    return scenario;
  }

  private static void validate(FleetScenario s, Fields f) {
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
    long maxCallTokens =
        s.calls().stream()
            .mapToLong(
                c ->
                    (long) (FleetScenario.MAX_SIZE_FACTOR * c.promptTokens())
                        + c.maxOutputTokens()
                        + 1)
            .max()
            .orElse(0);
    if (maxCallTokens > s.engines().memoryTokens()) {
      throw f.error(
          "engines.memoryTokens",
          s.engines().memoryTokens(),
          "write " + maxCallTokens + " or more, which the largest call needs");
    }
  }

  private static NodeFault nodeFault(Fields f) {
    return new NodeFault(
        f.choice("kind", NodeFaultKind.class),
        f.number("atSecond", 0, MAX_SECONDS),
        f.number("seconds", 1e-3, MAX_SECONDS),
        f.integer("first", 0, MAX_NODES, 0),
        f.integer("count", 1, MAX_NODES, 1));
  }

  private static PlainLimit plainLimit(Fields f) {
    return new PlainLimit(
        f.number("atSecond", 0, MAX_SECONDS),
        f.number("seconds", 0, MAX_SECONDS),
        f.integer("count", 1, MAX_UPSTREAMS, 1),
        f.number("perSecond", 1e-3, MAX_RATE));
  }

  private static EngineOutage engineOutage(Fields f) {
    return new EngineOutage(
        f.number("atSecond", 0, MAX_SECONDS),
        f.number("seconds", 0, MAX_SECONDS),
        f.integer("prefill", 0, MAX_UPSTREAMS, 0),
        f.integer("decode", 0, MAX_UPSTREAMS, 0));
  }

  private static Nodes nodes(Fields f) {
    Nodes nodes =
        new Nodes(
            f.integer("count", 1, MAX_NODES, 7),
            f.integer("allocatorFrom", 2, Integer.MAX_VALUE, 16),
            f.number("datagramMillis", 0, MAX_MILLIS, 1),
            f.number("datagramLoss", 0, 1, 0),
            f.number("upstreamMillis", 0, MAX_MILLIS, 0.5));
    f.finish();
    return nodes;
  }

  private static Engines engines(Fields f) {
    Engines engines =
        new Engines(
            f.integer("prefill", 0, MAX_UPSTREAMS, 0),
            f.integer("decode", 1, MAX_UPSTREAMS, 1),
            f.integer("slots", 1, MAX_SLOTS, 64),
            f.integer("queue", 0, MAX_SLOTS, 2),
            (long) f.number("memoryTokens", 1, MAX_TOKENS),
            f.integer("blockTokens", 1, MAX_BLOCK_TOKENS, 16),
            f.number("stepMillis", 1e-3, MAX_MILLIS),
            f.number("stepMillisPerRequest", 0, MAX_MILLIS, 0),
            f.number("promptTokensPerMilli", 1e-3, MAX_TOKENS),
            f.integer("chunkTokens", 4, MAX_TOKENS, 2_048),
            f.number("transferMillisPerThousand", 0, MAX_MILLIS, 0),
            f.number("handleMillis", 1, MAX_MILLIS, 500),
            f.integer("tokensPerEvent", 1, MAX_TOKENS, 64),
            f.number("downMillis", 1, MAX_MILLIS, 2_500));
    f.finish();
    return engines;
  }

  private static Plain plain(Fields f) {
    Plain plain =
        new Plain(
            f.integer("count", 0, MAX_UPSTREAMS, 0),
            f.integer("slots", 1, MAX_SLOTS, 6),
            f.integer("queue", 0, MAX_SLOTS, 24),
            f.number("workMillis", 1e-3, MAX_MILLIS, 20));
    f.finish();
    return plain;
  }

  private static CallClass callClass(Fields f) {
    int prompt = f.integer("promptTokens", 0, MAX_TOKENS, 0);
    return new CallClass(
        f.text("name"),
        f.number("perSecond", 0, MAX_RATE),
        prompt,
        f.integer("outputTokens", prompt == 0 ? 0 : 1, MAX_TOKENS, prompt == 0 ? 0 : 640),
        f.number("targetMillis", 1, MAX_MILLIS),
        f.number("gapMillis", 0, MAX_MILLIS, 0),
        f.number("deadlineMillis", 1, MAX_MILLIS),
        f.integer("returns", 0, MAX_RETRIES, 1),
        f.number("worth", 0, MAX_RATE, 1),
        f.number("worthLate", 0, MAX_RATE, 0),
        f.integer("crashing", 0, prompt == 0 ? 0 : MAX_CRASHING_REQUESTS, 0));
  }

  private static Burst burst(Fields f) {
    return new Burst(
        f.number("atSecond", 0, MAX_SECONDS),
        f.number("seconds", 0, MAX_SECONDS),
        f.number("times", 0, MAX_RATE));
  }
}
