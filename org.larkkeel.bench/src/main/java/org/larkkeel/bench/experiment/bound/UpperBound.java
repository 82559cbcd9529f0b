/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.bound;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.larkkeel.bench.experiment.scenario.Arrival;
import org.larkkeel.bench.experiment.scenario.FaultPlan.Occurrence;
import org.larkkeel.bench.experiment.scenario.Members;
import org.larkkeel.bench.experiment.scenario.Members.Member;
import org.larkkeel.bench.experiment.scenario.Scenario;
import org.larkkeel.bench.experiment.scenario.Scenario.FaultType;
import org.larkkeel.bench.experiment.scenario.Scenario.UpstreamGroup;
import org.larkkeel.call.PrefixKeys;
import org.larkkeel.config.Role;

/**
 * An upper bound of the completions that any policy with full knowledge can finish within both
 * targets.
 *
 * <p>It is a bound, not a schedule. Every request needs parts of four resources: prompt tokens of
 * the prefill engines, bytes of their links, bytes of the decode engines' links, and tokens of the
 * decode engines. The work of a real run for the requests that it finishes on target satisfies all
 * of the following constraints, so its count can't exceed the optimum under them:
 *
 * <ul>
 *   <li><b>Capacity.</b> In each bucket, the work done on a resource is at most the sum of the
 *       maximum rates of its running engines. A decode engine has its maximum token rate with all
 *       slots in the batch; a slot in import costs at least the tokens that the last slot of a
 *       batch adds.
 *   <li><b>Work.</b> Prompts count without every full piece that an earlier arrival contains too;
 *       repeating a lost decode costs nothing.
 *   <li><b>Windows.</b> No part starts before the arrival plus the minimum time of the previous
 *       steps, on the fastest engine without other requests, and none ends later than the minimum
 *       time of the following steps before the end. Windows are extended to complete buckets.
 *       Decode work is divided into chunks with separate windows, since the tokens of a request are
 *       generated in sequence. If no engine crashes or freezes, a stream that meets the target for
 *       its first token then continues at least at the speed of the slowest full batch.
 * </ul>
 *
 * <p>Not modelled are: the restriction of a request to one engine, the effect of the batch on a
 * single stream, eviction of KV caches, latencies, the lag of reports, the order within a resource
 * (work is preempted at no cost), and the loss of requests that are done in part. For any weights
 * that add up to 1 over the parts of each request, the sum over resources of the maximum weighted
 * share done bounds the count (Lagrangian duality). The weights are improved by a few
 * multiplicative steps, and the minimum value is used. Each resource's maximum is exact, see {@link
 * Resource}.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class UpperBound {
  private static final int DECODE_CHUNKS = 4;
  private static final int WEIGHT_ROUNDS = 14;
  private static final double WEIGHT_STEP = 1.2;
  private static final int MAX_NARROW_BUCKETS = 240;
  private static final int MIN_NARROW_BUCKETS = 40;
  private static final int WIDE_BUCKETS = 40;
  private static final double MAX_OPERATIONS = 6e8;
  private static final double SCARCEST_WEIGHT = 0.55;
  private static final double ROUNDING_TOLERANCE = 1e-6;

  private final Scenario scenario;
  private final List<Member> prefillEngines;
  private final List<Member> decodeEngines;
  private final ImmutableList<Occurrence> faults;
  private final Grid grid;
  private final Resource prefillTokens;
  private final Resource prefillLinks;
  private final Resource decodeLinks;
  private final Resource decodeTokens;
  private final List<Resource> resources;
  private final List<List<Part>> partsByRequest = new ArrayList<>();
  private final double maxPrefillRate;
  private final double minOverheadTokens;
  private final long minOverheadNanos;
  private final double linkRate;
  private final double minStepNanos;
  private final double maxStepNanos;
  private final boolean hasOutages;
  private final double importCost;

  private UpperBound(
      Scenario scenario, ImmutableList<Arrival> arrivals, ImmutableList<Occurrence> faults) {
    this.scenario = scenario;
    this.faults = faults;
    prefillEngines = Members.of(scenario, Role.PREFILL);
    decodeEngines = Members.of(scenario, Role.DECODE);
    grid = grid(arrivals);
    maxPrefillRate = max(prefillEngines, g -> g.tokensPerSecond() / Scenario.NANOS_PER_SECOND);
    minOverheadTokens =
        min(prefillEngines, g -> g.overhead() * g.tokensPerSecond() / Scenario.NANOS_PER_SECOND);
    minOverheadNanos = (long) min(prefillEngines, UpstreamGroup::overhead);
    linkRate =
        Math.min(
            max(prefillEngines, UpperBound::linkRate), max(decodeEngines, UpperBound::linkRate));
    minStepNanos = min(decodeEngines, g -> g.stepNanos(1));
    maxStepNanos = max(decodeEngines, g -> g.stepNanos(g.slots()));
    hasOutages =
        faults.stream().anyMatch(f -> f.type() == FaultType.KILL || f.type() == FaultType.FREEZE);
    importCost = min(decodeEngines, UpperBound::lastSlotRate);
    prefillTokens =
        createResource(prefillEngines, g -> g.tokensPerSecond() / Scenario.NANOS_PER_SECOND, false);
    prefillLinks = createResource(prefillEngines, UpperBound::linkRate, true);
    decodeLinks = createResource(decodeEngines, UpperBound::linkRate, true);
    decodeTokens =
        createResource(
            decodeEngines, g -> g.decodeTokensPerSecond() / Scenario.NANOS_PER_SECOND, false);
    resources = List.of(prefillTokens, prefillLinks, decodeLinks, decodeTokens);
    addRequests(arrivals);
  }

  /**
   * Computes the bound.
   *
   * @param scenario the scenario
   * @param arrivals the requests; plain calls are ignored
   * @param faults the faults
   * @return the bound, an integer
   */
  public static double of(
      Scenario scenario, ImmutableList<Arrival> arrivals, ImmutableList<Occurrence> faults) {
    if (arrivals.stream().allMatch(a -> a.kind().plain())) {
      return 0;
    }
    return Math.floor(new UpperBound(scenario, arrivals, faults).minimize() + ROUNDING_TOLERANCE);
  }

  private double minimize() {
    double minValue = partsByRequest.size();
    Resource scarcest = decodeTokens;
    for (Resource resource : resources) {
      assignWeights(resource, 1);
      double value = resource.maximize();
      if (value < minValue) {
        minValue = value;
        scarcest = resource;
      }
    }
    assignWeights(scarcest, SCARCEST_WEIGHT);
    for (int round = 0; round < WEIGHT_ROUNDS; round++) {
      double value = 0;
      for (Resource resource : resources) {
        value += resource.maximize();
      }
      minValue = Math.min(minValue, value);
      partsByRequest.forEach(UpperBound::shiftWeights);
    }
    return minValue;
  }

  /**
   * Assigns a share of each request's weight to one resource and the rest evenly to the others; the
   * parts of a resource get weight in proportion to their work.
   */
  private void assignWeights(Resource favoured, double share) {
    for (Resource resource : resources) {
      double resourceShare = resource == favoured ? share : (1 - share) / (resources.size() - 1);
      double[] totalWork = new double[partsByRequest.size()];
      for (Part part : resource.parts) {
        totalWork[part.request] += part.work;
      }
      for (Part part : resource.parts) {
        part.weight = resourceShare * part.work / totalWork[part.request];
      }
    }
  }

  /** Moves weight to the parts of a request with the smallest share done. */
  private static void shiftWeights(List<Part> parts) {
    double sum = 0;
    for (Part part : parts) {
      part.weight *= Math.exp(-WEIGHT_STEP * part.done);
      sum += part.weight;
    }
    for (Part part : parts) {
      part.weight /= sum;
    }
  }

  private void addRequests(ImmutableList<Arrival> arrivals) {
    Set<Long> seen = new HashSet<>();
    for (Arrival arrival : arrivals) {
      if (!arrival.kind().plain()) {
        addRequest(arrival, uncached(arrival, seen));
        arrival.prefixes().keys().forEach(seen::add);
      }
    }
  }

  private void addRequest(Arrival arrival, double uncached) {
    double bytes = (double) arrival.prompt() * scenario.kvBytesPerToken();
    long transferNanos = (long) (bytes / linkRate);
    long earliestPrefilled = arrival.at() + minOverheadNanos + (long) (uncached / maxPrefillRate);
    long earliestImported = earliestPrefilled + transferNanos;
    long latestEnd = latestEnd(arrival);
    long latestFirstToken =
        Math.min(
            arrival.at() + arrival.kind().firstToken(),
            latestEnd - (long) ((arrival.output() - 1) * minStepNanos));
    long latestImported = latestFirstToken - (long) minStepNanos;
    if (earliestImported > latestImported) {
      return;
    }
    List<Part> parts = new ArrayList<>();
    int request = partsByRequest.size();
    add(
        parts,
        prefillTokens,
        request,
        arrival.at(),
        latestImported - transferNanos,
        uncached + minOverheadTokens);
    add(parts, prefillLinks, request, earliestPrefilled, latestImported, bytes);
    add(parts, decodeLinks, request, earliestPrefilled, latestImported, bytes);
    add(
        parts,
        decodeTokens,
        request,
        earliestPrefilled,
        latestImported,
        importCost * transferNanos);
    int done = 0;
    for (int i = 1; i <= DECODE_CHUNKS; i++) {
      int until = (int) ((long) arrival.output() * i / DECODE_CHUNKS);
      long from = earliestImported + (long) (done * minStepNanos);
      long to = latestEnd - (long) ((arrival.output() - until) * minStepNanos);
      add(parts, decodeTokens, request, from, to, until - done);
      done = until;
    }
    partsByRequest.add(parts);
  }

  /**
   * Returns the latest end of a request on target. Without outages, a started stream continues at
   * least at the speed of the slowest full batch.
   */
  private long latestEnd(Arrival arrival) {
    if (hasOutages) {
      return arrival.latestEnd();
    }
    long stream = (long) Math.ceil((arrival.output() - 1) * maxStepNanos);
    return Math.min(arrival.latestEnd(), arrival.at() + arrival.kind().firstToken() + stream);
  }

  private void add(
      List<Part> parts, Resource resource, int request, long from, long to, double work) {
    if (work > 0) {
      Part part = new Part(request, grid.floor(from), grid.ceiling(to), work);
      parts.add(part);
      resource.parts.add(part);
    }
  }

  private static double uncached(Arrival arrival, Set<Long> seen) {
    int pieces = 0;
    while (pieces < arrival.prefixes().keys().length()
        && seen.contains(arrival.prefixes().keys().get(pieces))) {
      pieces++;
    }
    return Math.max(1, arrival.prompt() - pieces * PrefixKeys.PIECE_TOKENS);
  }

  private Grid grid(ImmutableList<Arrival> arrivals) {
    long last = scenario.end();
    int count = 0;
    for (Arrival arrival : arrivals) {
      if (!arrival.kind().plain()) {
        long end = arrival.at() + arrival.kind().deadline();
        last = Math.max(last, Math.min(end, arrival.latestEnd()));
        count++;
      }
    }
    int affordable = (int) Math.sqrt(MAX_OPERATIONS / Math.max(1, count * (DECODE_CHUNKS + 4)));
    int narrow = Math.clamp(affordable, MIN_NARROW_BUCKETS, MAX_NARROW_BUCKETS);
    return Grid.of(Scenario.ARRIVALS_START_NANOS, scenario.end(), last, narrow, WIDE_BUCKETS);
  }

  private Resource createResource(
      List<Member> members, ToDoubleFunction<UpstreamGroup> rate, boolean isLink) {
    double[] capacity = new double[grid.size()];
    for (Member member : members) {
      double perNano = rate.applyAsDouble(member.group());
      for (int i = 0; i < capacity.length; i++) {
        capacity[i] += perNano * operationalNanos(member, grid.edge(i), grid.edge(i + 1), isLink);
      }
    }
    return new Resource(capacity);
  }

  /** Returns the nanoseconds of a bucket in which an engine, or its link, is operational. */
  private double operationalNanos(Member member, long from, long to, boolean isLink) {
    long downNanos = 0;
    for (Occurrence fault : faults) {
      boolean stops =
          switch (fault.type()) {
            case KILL -> true;
            case FREEZE -> !isLink;
            case STALL -> isLink;
            case EVICT_ALL, STORE_DOWN -> false;
          };
      if (stops && fault.upstream().equals(member.name())) {
        long overlap = Math.min(to, fault.until()) - Math.max(from, fault.from());
        downNanos = Math.max(downNanos, overlap);
      }
    }
    return (double) (to - from) - downNanos;
  }

  private static double linkRate(UpstreamGroup group) {
    return (double) group.linkBytesPerSecond() / Scenario.NANOS_PER_SECOND;
  }

  /** Returns the tokens per nanosecond that the last slot of a full batch adds. */
  private static double lastSlotRate(UpstreamGroup group) {
    int slots = group.slots();
    return slots / group.stepNanos(slots) - (slots - 1) / group.stepNanos(slots - 1);
  }

  private static double max(List<Member> members, ToDoubleFunction<UpstreamGroup> value) {
    return members.stream().mapToDouble(m -> value.applyAsDouble(m.group())).max().orElse(0);
  }

  private static double min(List<Member> members, ToDoubleFunction<UpstreamGroup> value) {
    return members.stream().mapToDouble(m -> value.applyAsDouble(m.group())).min().orElse(0);
  }
}
