/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.larkkeel.bench.experiment.fake.Timeline;
import org.larkkeel.daemon.relay.LoadSharing;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.RuleName;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.relay.CallKind;
import org.larkkeel.relay.ProbeResult;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.RelayRule;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.ServiceBounds;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.Stage;

/**
 * One run of a fleet in virtual time.
 *
 * <p>Invariant: the result is a function of scenario and seed, and the calls that come are the same
 * whatever the nodes do. Used once, by one thread.
 *
 * @since 0.1
 */
public final class FleetModel {
  static final DataCentreName PLACE = new DataCentreName("dc-1");
  static final String HOST = "a.example";

  private static final double SECOND = 1e9;
  private static final double MILLI = 1e6;

  /** Events of a steady clock do not begin at 0. */
  private static final long START = 1_000_000_000_000L;

  /** Within this time nodes read that an upstream has started again. */
  private static final long NEWS = 500_000_000L;

  /** Nodes meet and choose who sets memory aside before calls come. */
  private static final long LEAD = 4_000_000_000L;

  /** The spreads of prompts and outputs, as standard deviations of the logarithm. */
  private static final double PROMPT_SPREAD = 0.5;

  private static final double OUTPUT_SPREAD = 0.7;

  /** The share of callers that tell how much output they expect, which is then right. */
  private static final double HINTS = 0.5;

  private static final ServiceName MODEL = new ServiceName("model");
  private static final ServiceName PLAIN = new ServiceName("plain");
  private static final int CONNECTIONS = 1_000;
  private static final int MAX_BODY = 1 << 20;
  private static final int PLAIN_RUNS = 2;

  private final FleetScenario scenario;
  private final long seed;
  private final Timeline time = new Timeline(START);
  private final TokenLedger tokens = new TokenLedger();
  private final Map<FleetScenario.Calls, CallLedger> calls = new LinkedHashMap<>();
  private final List<SimNode> nodes = new ArrayList<>();
  private final Map<InetSocketAddress, SimNode> byAddress = new HashMap<>();
  private final Map<UpstreamName, SimEngine> engines = new LinkedHashMap<>();
  private final Map<UpstreamName, SimPlain> plains = new LinkedHashMap<>();
  private final Map<UpstreamName, RelayUpstream> upstreams;
  private final RelayConfiguration configuration;
  private final SplittableRandom network;
  private final SplittableRandom arrivals;
  private final SplittableRandom choices;
  private final SplittableRandom seeds;
  private final long upstreamNanos;

  /** What each node has sent, over all its lives. */
  private final long[] datagrams;

  private final long[] bytes;
  private final List<SimNode> ended = new ArrayList<>();
  private long lastCaller;
  private int crashes;
  private int quarantined;

  /**
   * Builds the fleet.
   *
   * @param scenario what it is made of
   * @param seed of all chance in it
   */
  public FleetModel(FleetScenario scenario, long seed) {
    this.scenario = scenario;
    this.seed = seed;
    SplittableRandom root = new SplittableRandom(seed);
    this.arrivals = root.split();
    this.network = root.split();
    this.choices = root.split();
    this.upstreamNanos = (long) (scenario.nodes().upstreamMillis() * MILLI);
    this.upstreams = new LinkedHashMap<>(buildUpstreams(root.split()));
    this.configuration = buildConfiguration();
    scenario.calls().forEach(k -> calls.put(k, new CallLedger(k)));
    this.seeds = root.split();
    this.datagrams = new long[scenario.nodes().count()];
    this.bytes = new long[scenario.nodes().count()];
    for (int i = 0; i < scenario.nodes().count(); i++) {
      SimNode node = new SimNode(this, i, seeds.nextLong());
      nodes.add(node);
      byAddress.put(node.address, node);
    }
  }

  private ImmutableMap<UpstreamName, RelayUpstream> buildUpstreams(SplittableRandom random) {
    ImmutableMap.Builder<UpstreamName, RelayUpstream> all = ImmutableMap.builder();
    FleetScenario.Engines e = scenario.engines();
    for (int i = 0; i < e.prefill() + e.decode(); i++) {
      Stage stage = i < e.prefill() ? Stage.PREFILL : Stage.DECODE;
      UpstreamName id = new UpstreamName("engine-%04d".formatted(i));
      SimEngine engine = new SimEngine(time, tokens, e, stage);
      engine.onCrash(() -> crashed(id, engine));
      engines.put(id, engine);
      all.put(id, upstream(id, MODEL, e.slots(), stage));
    }
    for (int i = 0; i < scenario.plain().count(); i++) {
      UpstreamName id = new UpstreamName("plain-%04d".formatted(i));
      plains.put(id, new SimPlain(time, scenario.plain(), random.split()));
      all.put(id, upstream(id, PLAIN, scenario.plain().slots(), Stage.WHOLE));
    }
    return all.buildOrThrow();
  }

  /** An engine has ended under a request; it starts again under its name, and nodes read of it. */
  private void crashed(UpstreamName id, SimEngine engine) {
    crashes++;
    RelayUpstream before = upstreams.get(id);
    UpstreamIncarnation life = new UpstreamIncarnation(id, new Incarnation(crashes));
    RelayUpstream after =
        new RelayUpstream(
            life,
            before.service(),
            before.address(),
            before.dataCentre(),
            before.slots(),
            before.stage(),
            false);
    time.after(
        (long) (scenario.engines().downMillis() * MILLI),
        () -> {
          engine.start();
          upstreams.put(id, after);
          nodes.forEach(n -> time.after(network.nextLong(NEWS), () -> n.upstreamChanged(after)));
        });
  }

  /** A caller with a call like others is told that its request is quarantined. */
  void quarantined(Caller caller) {
    if (caller.kind().crashing() == 0) {
      quarantined++;
    }
  }

  private static RelayUpstream upstream(
      UpstreamName id, ServiceName service, int slots, Stage stage) {
    return new RelayUpstream(
        UpstreamIncarnation.unknown(id), service, "127.0.0.1:80", PLACE, slots, stage, false);
  }

  private RelayConfiguration buildConfiguration() {
    FleetScenario.Engines e = scenario.engines();
    return new RelayConfiguration(
        1,
        scenario.calls().stream().map(FleetModel::rule).collect(ImmutableList.toImmutableList()),
        ImmutableMap.of(
            MODEL,
            new ServiceBounds(CONNECTIONS, e.memoryTokens(), e.tokensPerEvent(), false),
            PLAIN,
            new ServiceBounds(CONNECTIONS, 0, 0, false)),
        MAX_BODY);
  }

  private static RelayRule rule(FleetScenario.Calls kind) {
    return new RelayRule(
        new RuleName(kind.name()),
        HOST,
        path(kind),
        ImmutableList.of(new RelayRule.Share(kind.isStream() ? MODEL : PLAIN, 1)),
        kind.isStream() ? CallKind.STREAM : CallKind.IDEMPOTENT,
        (long) kind.deadlineMillis(),
        kind.isStream() ? 1 : PLAIN_RUNS,
        (long) kind.targetMillis(),
        (long) kind.gapMillis(),
        1,
        false);
  }

  static String path(FleetScenario.Calls kind) {
    return "/" + kind.name() + "/";
  }

  FleetScenario scenario() {
    return scenario;
  }

  Timeline time() {
    return time;
  }

  List<SimNode> nodes() {
    return nodes;
  }

  RelayConfiguration configuration() {
    return configuration;
  }

  ImmutableMap<UpstreamName, RelayUpstream> upstreams() {
    return ImmutableMap.copyOf(upstreams);
  }

  SimEngine engine(UpstreamName id) {
    return engines.get(id);
  }

  void take(Job job) {
    SimEngine engine = engines.get(job.upstream);
    if (engine != null) {
      engine.take(job);
    } else {
      plains.get(job.upstream).take(job);
    }
  }

  /** Whether an upstream listens; plain ones always do. */
  ProbeResult probe(UpstreamName id) {
    SimEngine engine = engines.get(id);
    return engine != null && engine.isDown() ? ProbeResult.REFUSES : ProbeResult.LISTENS;
  }

  void cancel(Job job) {
    SimEngine engine = engines.get(job.upstream);
    if (engine != null) {
      engine.cancel(job);
    }
  }

  /** Does something after the time of one way between a node and an upstream or a caller. */
  void overNetwork(Runnable action) {
    time.after(upstreamNanos, action);
  }

  /** Carries a datagram, late or never. */
  void datagram(SimNode from, InetSocketAddress to, byte[] message) {
    datagrams[from.index]++;
    bytes[from.index] += message.length;
    if (network.nextDouble() < scenario.nodes().datagramLoss()) {
      return;
    }
    double millis = scenario.nodes().datagramMillis() * (0.5 + network.nextDouble());
    time.after((long) (millis * MILLI), () -> byAddress.get(to).receive(from.address, message));
  }

  /** A node at random, another than the one before where there is one. */
  SimNode otherNode(SimNode before) {
    SimNode node = nodes.get(choices.nextInt(nodes.size()));
    return node == before && nodes.size() > 1 ? otherNode(before) : node;
  }

  void ended(Caller caller, CallOutcome outcome) {
    calls.get(caller.kind()).ended(caller, outcome);
  }

  /**
   * Runs it.
   *
   * @return what it came to
   * @throws IllegalStateException if calls or tokens are left without an outcome
   */
  public FleetResult run() {
    for (SimNode node : nodes) {
      node.start(choices.nextLong(LoadSharing.PERIOD_NANOS));
    }
    long begin = START + LEAD;
    scenario.calls().forEach(kind -> plan(kind, begin));
    scenario.dark().forEach(d -> plan(d, begin));
    scenario.nodeFaults().forEach(f -> plan(f, begin));
    scenario.plainLimits().forEach(l -> plan(l, begin));
    time.runUntil(begin);
    final long[] datagramsBefore = datagrams.clone();
    final long[] bytesBefore = bytes.clone();
    long end = begin + (long) (scenario.seconds() * SECOND);
    time.runUntil(end);
    final FleetResult.Sent sentDatagrams = since(datagramsBefore, datagrams);
    final FleetResult.Sent sentBytes = since(bytesBefore, bytes);
    time.runUntil(end + longestCall());
    return result(sentDatagrams, sentBytes);
  }

  /** What nodes have sent in a second since they had sent so much. */
  private FleetResult.Sent since(long[] before, long[] now) {
    double mean = 0;
    double most = 0;
    for (int i = 0; i < before.length; i++) {
      double rate = (now[i] - before[i]) / scenario.seconds();
      mean += rate / before.length;
      most = Math.max(most, rate);
    }
    return new FleetResult.Sent(mean, most);
  }

  private long longestCall() {
    double millis =
        scenario.calls().stream().mapToDouble(FleetScenario.Calls::deadlineMillis).max().orElse(0);
    return (long) (millis * MILLI + scenario.engines().handleMillis() * MILLI + SECOND);
  }

  private void plan(FleetScenario.Dark d, long begin) {
    List<SimEngine> all = List.copyOf(engines.values());
    int readers = scenario.engines().prefill();
    List<SimEngine> some = new ArrayList<>(all.subList(0, Math.min(readers, d.prefill())));
    some.addAll(all.subList(readers, Math.min(all.size(), readers + d.decode())));
    long from = begin + (long) (d.atSecond() * SECOND);
    time.at(from, () -> some.forEach(SimEngine::darken));
    time.at(from + (long) (d.seconds() * SECOND), () -> some.forEach(SimEngine::restart));
  }

  private void plan(FleetScenario.PlainLimit limit, long begin) {
    List<SimPlain> some = plains.values().stream().limit(limit.count()).toList();
    long from = begin + (long) (limit.atSecond() * SECOND);
    time.at(from, () -> some.forEach(p -> p.limit(limit.perSecond())));
    time.at(from + (long) (limit.seconds() * SECOND), () -> some.forEach(SimPlain::lift));
  }

  private void plan(FleetScenario.NodeFault fault, long begin) {
    long from = begin + (long) (fault.atSecond() * SECOND);
    long until = from + (long) (fault.seconds() * SECOND);
    for (int i = fault.first(); i < fault.first() + fault.count(); i++) {
      int index = i;
      switch (fault.kind()) {
        case KILLED -> {
          time.at(from, () -> nodes.get(index).kill());
          time.at(until, () -> startAgain(index));
        }
        case FROZEN -> {
          time.at(from, () -> nodes.get(index).freeze());
          time.at(until, () -> nodes.get(index).thaw());
        }
        case SUSPENDED -> {
          time.at(from, () -> nodes.get(index).suspend());
          time.at(until, () -> nodes.get(index).resume());
        }
        default -> throw new IllegalStateException("no such kind: " + fault.kind());
      }
    }
  }

  /** Draws the calls of a kind by thinning a Poisson process of the greatest rate. */
  private void plan(FleetScenario.Calls kind, long begin) {
    SplittableRandom random = arrivals.split();
    double most = kind.perSecond() * scenario.mostRate();
    double second = 0;
    while (most > 0) {
      second += exponential(random) / most;
      if (second >= scenario.seconds()) {
        return;
      }
      boolean comes = random.nextDouble() * scenario.mostRate() < scenario.rateAt(second);
      int prompt = size(kind.promptTokens(), PROMPT_SPREAD, random);
      int output = size(kind.outputTokens(), OUTPUT_SPREAD, random);
      boolean hints = random.nextDouble() < HINTS;
      if (comes) {
        time.at(begin + (long) (second * SECOND), () -> begin(kind, prompt, output, hints));
      }
    }
  }

  /** A process takes the place of one that has ended, unless another already has. */
  private void startAgain(int index) {
    SimNode before = nodes.get(index);
    if (before.hasEnded()) {
      ended.add(before);
      SimNode node = new SimNode(this, index, seeds.nextLong());
      nodes.set(index, node);
      byAddress.put(node.address, node);
      node.start(choices.nextLong(LoadSharing.PERIOD_NANOS));
    }
  }

  /** Draws a size from a log-normal distribution of a mean, cut off at a multiple of it. */
  private static int size(int mean, double spread, SplittableRandom random) {
    double factor = Math.exp(spread * gaussian(random) - spread * spread / 2);
    return mean == 0 ? 0 : (int) Math.max(1, mean * Math.min(FleetScenario.LARGEST, factor));
  }

  /** Draws from the normal distribution by the transform of Box and Muller. */
  private static double gaussian(SplittableRandom random) {
    double radius = Math.sqrt(2 * exponential(random));
    return radius * Math.cos(2 * Math.PI * random.nextDouble());
  }

  private static double exponential(SplittableRandom random) {
    return -Math.log(1 - random.nextDouble());
  }

  private void begin(FleetScenario.Calls kind, int prompt, int output, boolean hints) {
    calls.get(kind).begun();
    lastCaller++;
    String name =
        kind.crashing() > 0 ? "crash-" + lastCaller % kind.crashing() : "call-" + lastCaller;
    new Caller(this, kind, name, prompt, output, hints).begin();
  }

  private FleetResult result(FleetResult.Sent datagrams, FleetResult.Sent bytes) {
    int inProgress = nodes.stream().filter(n -> !n.hasEnded()).mapToInt(SimNode::inProgress).sum();
    if (inProgress > 0) {
      throw new IllegalStateException(inProgress + " calls are in progress at nodes after the end");
    }
    return new FleetResult(
        seed,
        calls.values().stream().map(CallLedger::close).collect(ImmutableList.toImmutableList()),
        tokens.close(),
        Stream.concat(nodes.stream(), ended.stream()).mapToLong(SimNode::wastedByRouter).sum(),
        engines.values().stream().mapToInt(SimEngine::preemptions).sum(),
        engines.values().stream().mapToInt(SimEngine::declined).sum()
            + plains.values().stream().mapToInt(SimPlain::declined).sum(),
        engines.values().stream().mapToDouble(SimEngine::fullest).max().orElse(0),
        datagrams,
        bytes,
        crashes,
        quarantined,
        plains.values().stream().mapToDouble(SimPlain::limitUse).max().orElse(0));
  }
}
