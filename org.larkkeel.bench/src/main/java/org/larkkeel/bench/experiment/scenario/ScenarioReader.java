/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.scenario;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;
import org.larkkeel.bench.experiment.scenario.Scenario.Arrivals;
import org.larkkeel.bench.experiment.scenario.Scenario.Fault;
import org.larkkeel.bench.experiment.scenario.Scenario.FaultType;
import org.larkkeel.bench.experiment.scenario.Scenario.Platform;
import org.larkkeel.bench.experiment.scenario.Scenario.RequestClass;
import org.larkkeel.bench.experiment.scenario.Scenario.UpstreamGroup;
import org.larkkeel.config.Role;
import org.larkkeel.config.Upstream;
import org.larkkeel.config.Urgency;
import org.larkkeel.lib.Names;

/**
 * Reads scenarios from JSON with comments.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class ScenarioReader {
  private static final double MAX_MILLIS = 86_400_000;
  private static final double MAX_SECONDS = 86_400;
  private static final double MAX_RATE = 1e15;
  private static final int MAX_TOKENS = 1_000_000;

  private ScenarioReader() {}

  /**
   * Reads a scenario.
   *
   * @param text the content of the file
   * @param knownPolicy returns whether a policy with the given name exists
   * @return the scenario
   * @throws ScenarioException if the text is malformed or a field is not valid
   */
  public static Scenario read(String text, Predicate<String> knownPolicy) {
    Fields fields = Fields.parse(text, "scenario");
    Scenario scenario = scenario(fields, knownPolicy);
    fields.finish();
    validate(scenario);
    return scenario;
  }

  private static Scenario scenario(Fields f, Predicate<String> knownPolicy) {
    return new Scenario(
        f.text("name"),
        f.values("seeds", v -> v.isIntegralNumber() ? v.asLong() : null, "write whole numbers"),
        f.values(
            "loads",
            v -> v.isNumber() && v.asDouble() >= 0 && v.asDouble() <= 10 ? v.asDouble() : null,
            "write numbers from 0 to 10"),
        seconds(f.number("durationSeconds", 0.001, MAX_SECONDS)),
        f.integer("nodes", 1, 1000, 1),
        f.flag("sharedSlots", false),
        f.values(
            "policies",
            v -> v.isTextual() && knownPolicy.test(v.asText()) ? v.asText() : null,
            "write names of known policies; --list prints them"),
        (long) f.number("kvBytesPerToken", 1, 1e9, 80_000),
        f.has("platform") ? platform(f.object("platform")) : platform(null),
        f.has("arrivals") ? arrivals(f.object("arrivals")) : Arrivals.POISSON,
        f.list("upstreams", ScenarioReader::upstreams),
        f.list("classes", ScenarioReader::requestClass),
        f.has("faults") ? f.list("faults", ScenarioReader::fault) : ImmutableList.of());
  }

  private static Platform platform(Fields f) {
    if (f == null) {
      return new Platform(
          millis(0.5),
          millis(0.1),
          millis(100),
          millis(200),
          millis(300),
          0.05,
          millis(5),
          millis(5));
    }
    Platform platform =
        new Platform(
            millis(f.number("betweenDataCentresMillis", 0, MAX_MILLIS, 0.5)),
            millis(f.number("withinDataCentreMillis", 0, MAX_MILLIS, 0.1)),
            millis(f.number("reportEveryMillis", 1, MAX_MILLIS, 100)),
            millis(f.number("reportLagMillis", 0, MAX_MILLIS, 200)),
            millis(f.number("cacheEventLagMillis", 0, MAX_MILLIS, 300)),
            f.number("cacheEventGapShare", 0, 1, 0.05),
            millis(f.number("cancelDelayMillis", 0, MAX_MILLIS, 5)),
            millis(f.number("storeDelayMillis", 0, MAX_MILLIS, 5)));
    f.finish();
    return platform;
  }

  private static Arrivals arrivals(Fields f) {
    Arrivals arrivals =
        new Arrivals(
            seconds(f.number("burstEverySeconds", 0.001, MAX_SECONDS)),
            seconds(f.number("burstForSeconds", 0.001, MAX_SECONDS)),
            f.number("burstFactor", 1, 100));
    f.finish();
    if (arrivals.burstFor() >= arrivals.burstEvery()) {
      throw f.error("burstForSeconds", "not below burstEverySeconds", "write a shorter burst");
    }
    if (arrivals.burstFactor() * arrivals.burstFor() > arrivals.burstEvery()) {
      throw f.error("burstFactor", arrivals.burstFactor(), "write at most every / for");
    }
    return arrivals;
  }

  private static UpstreamGroup upstreams(Fields f) {
    Role role = f.choice("role", Role.class, null);
    boolean prefill = role == Role.PREFILL;
    boolean decode = role == Role.DECODE;
    boolean service = role == Role.SERVICE;
    return new UpstreamGroup(
        name(f, "name"),
        f.integer("count", 1, 10_000, 1),
        role,
        f.has("generation") ? name(f, "generation") : "any",
        f.values(
            "dataCentres",
            v -> v.isTextual() && Names.isValid(v.asText()) ? v.asText() : null,
            "write names of data centres"),
        f.integer("slots", 1, 10_000, Upstream.DEFAULT_SLOTS),
        (long) f.number("linkBytesPerSecond", 1, MAX_RATE, Upstream.DEFAULT_LINK_BYTES_PER_SECOND),
        prefill ? f.number("tokensPerSecond", 1, MAX_RATE) : 0,
        prefill ? millis(f.number("overheadMillis", 0, MAX_MILLIS, 5)) : 0,
        prefill ? millis(f.number("kvHoldMillis", 1, MAX_MILLIS, 800)) : 0,
        prefill ? f.integer("cachePieces", 0, 1_000_000, 64) : 0,
        decode ? f.number("stepBaseMillis", 0.001, MAX_MILLIS) * Scenario.NANOS_PER_MILLI : 0,
        decode ? f.number("stepPerRequestMillis", 0, MAX_MILLIS) * Scenario.NANOS_PER_MILLI : 0,
        service ? distribution(f, "serviceMillis", 0, MAX_MILLIS) : new Distribution.Fixed(0));
  }

  private static RequestClass requestClass(Fields f) {
    boolean plain = f.flag("plain", false);
    boolean hasCancels = f.has("cancelShare");
    Distribution one = new Distribution.Fixed(1);
    return new RequestClass(
        name(f, "name"),
        plain,
        plain ? 0 : f.number("share", 0, 1),
        plain ? f.number("requestsPerSecond", 0, 1e6) : 0,
        f.choice("urgency", Urgency.class, Urgency.INTERACTIVE),
        plain ? one : distribution(f, "promptTokens", 1, MAX_TOKENS),
        plain ? one : distribution(f, "outputTokens", 1, MAX_TOKENS),
        plain ? 1 : f.integer("maxTokens", 1, MAX_TOKENS, 4096),
        millis(f.number("firstTokenMillis", 1, MAX_MILLIS)),
        plain
            ? Scenario.NANOS_PER_SECOND
            : millis(f.number("betweenTokensMillis", 0.1, MAX_MILLIS)),
        millis(f.number("deadlineMillis", 1, MAX_MILLIS)),
        f.number("cancelShare", 0, 1, 0),
        hasCancels ? distribution(f, "cancelAfterMillis", 0, MAX_MILLIS) : one,
        f.integer("workspaces", 1, 10_000, 10),
        plain ? 0 : f.number("prefixShare", 0, 1, 0),
        plain ? 1 : f.integer("prefixes", 1, 100_000, 1),
        plain ? 0 : f.integer("prefixTokens", 0, MAX_TOKENS, 0),
        plain ? f.number("nonIdempotentShare", 0, 1, 0) : 0,
        plain ? f.number("repeatShare", 0, 1, 0) : 0);
  }

  private static Fault fault(Fields f) {
    FaultType type = f.choice("type", FaultType.class, null);
    boolean isStore = type == FaultType.STORE_DOWN;
    boolean hasUpstream = f.has("upstream") || isStore;
    return new Fault(
        type,
        seconds(f.number("atSeconds", 0, MAX_SECONDS)),
        seconds(f.number("everySeconds", 0.001, MAX_SECONDS, 0)),
        type == FaultType.EVICT_ALL ? 0 : seconds(f.number("forSeconds", 0.001, MAX_SECONDS)),
        isStore ? "" : f.text("upstream", ""),
        hasUpstream ? Role.DECODE : f.choice("role", Role.class, null));
  }

  private static Distribution distribution(Fields f, String name, double min, double max) {
    Fields d = f.object(name);
    Distribution distribution;
    if (d.has("fixed")) {
      distribution = new Distribution.Fixed(d.number("fixed", min, max));
    } else if (d.has("median")) {
      distribution =
          new Distribution.LogNormal(
              d.number("median", Math.max(min, 1e-9), max),
              d.number("sigma", 0, 10),
              d.number("min", min, max),
              d.number("max", min, max));
    } else {
      distribution = new Distribution.Uniform(d.number("min", min, max), d.number("max", min, max));
    }
    d.finish();
    return distribution;
  }

  private static void validate(Scenario scenario) {
    Set<String> names = new HashSet<>();
    for (UpstreamGroup group : scenario.upstreams()) {
      if (!names.add(group.name())) {
        throw duplicateName("upstreams", group.name());
      }
    }
    double share = 0;
    for (RequestClass requestClass : scenario.classes()) {
      if (!names.add(requestClass.name())) {
        throw duplicateName("classes", requestClass.name());
      }
      share += requestClass.share();
    }
    boolean completions = scenario.classes().stream().anyMatch(c -> !c.plain());
    if (completions && Math.abs(share - 1) > 1e-6) {
      throw new ScenarioException(
          "scenario.classes have shares that add up to "
              + share
              + ": make those of the completions add up to 1");
    }
    Set<String> members = Members.names(scenario);
    for (Fault fault : scenario.faults()) {
      if (!fault.upstream().isEmpty() && !members.contains(fault.upstream())) {
        throw new ScenarioException(
            "scenario.faults.upstream is \""
                + fault.upstream()
                + "\": write the name of an upstream, such as "
                + members.iterator().next());
      }
    }
  }

  private static ScenarioException duplicateName(String list, String name) {
    return new ScenarioException(
        "scenario." + list + " has the name \"" + name + "\" twice: use another name");
  }

  private static String name(Fields f, String field) {
    String name = f.text(field);
    if (!Names.isValid(name)) {
      throw f.error(field, "\"" + name + "\"", "use letters, digits and . _ / -");
    }
    return name;
  }

  private static long millis(double millis) {
    return Math.round(millis * Scenario.NANOS_PER_MILLI);
  }

  private static long seconds(double seconds) {
    return Math.round(seconds * Scenario.NANOS_PER_SECOND);
  }
}
