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
 * <p>Invariant: the result is a function of scenario and seed, and the arriving calls do not depend
 * on what the nodes do. Each instance is used for one run, by one thread.
 *
 * @since 0.1
 */
public final class FleetModel {
  static final DataCentreName DATA_CENTRE = new DataCentreName("dc-1");
  static final String HOST = "a.example";

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double NANOS_PER_MILLI = 1e6;

  /** The virtual time at the start; not 0, as a monotonic clock does not start at 0 either. */
  private static final long START_NANOS = 1_000_000_000_000L;

  /** The maximum delay until nodes learn of an upstream's restart. */
  private static final long MAX_DISCOVERY_DELAY_NANOS = 500_000_000L;

  /** Time before the first call, in which nodes meet and choose the reservation coordinator. */
  private static final long WARM_UP_NANOS = 4_000_000_000L;

  /** The standard deviations of the logarithm of prompt and output sizes. */
  private static final double PROMPT_SIGMA = 0.5;

  private static final double OUTPUT_SIGMA = 0.7;

  /** The share of callers that announce their output size, which is then exact. */
  private static final double HINT_SHARE = 0.5;

  private static final ServiceName MODEL_SERVICE = new ServiceName("model");
  private static final ServiceName PLAIN_SERVICE = new ServiceName("plain");
  private static final int MAX_CONNECTIONS = 1_000;
  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final int MAX_PLAIN_ATTEMPTS = 2;

  private final FleetScenario scenario;
  private final long seed;
  private final Timeline time = new Timeline(START_NANOS);
  private final TokenLedger tokens = new TokenLedger();
  private final Map<FleetScenario.CallClass, CallLedger> callLedgers = new LinkedHashMap<>();
  private final List<SimNode> nodes = new ArrayList<>();
  private final Map<InetSocketAddress, SimNode> nodesByAddress = new HashMap<>();
  private final Map<UpstreamName, SimEngine> engines = new LinkedHashMap<>();
  private final Map<UpstreamName, SimPlain> plainUpstreams = new LinkedHashMap<>();
  private final Map<UpstreamName, RelayUpstream> upstreams;
  private final RelayConfiguration configuration;
  private final SplittableRandom network;
  private final SplittableRandom arrivals;
  private final SplittableRandom choices;
  private final SplittableRandom nodeSeeds;
  private final long upstreamDelayNanos;

  /** The traffic sent by each node index, over all incarnations of the node. */
  private final long[] datagramsByNode;

  private final long[] bytesByNode;
  private final List<SimNode> ended = new ArrayList<>();
  private long callerCount;
  private int crashes;
  private int quarantined;

  /**
   * Builds the fleet.
   *
   * @param scenario the nodes, upstreams, calls and faults
   * @param seed the seed of all random choices
   */
  public FleetModel(FleetScenario scenario, long seed) {
    this.scenario = scenario;
    this.seed = seed;
    SplittableRandom root = new SplittableRandom(seed);
    this.arrivals = root.split();
    this.network = root.split();
    this.choices = root.split();
    this.upstreamDelayNanos = (long) (scenario.nodes().upstreamMillis() * NANOS_PER_MILLI);
    this.upstreams = new LinkedHashMap<>(buildUpstreams(root.split()));
    this.configuration = buildConfiguration();
    scenario.calls().forEach(k -> callLedgers.put(k, new CallLedger(k)));
    this.nodeSeeds = root.split();
    this.datagramsByNode = new long[scenario.nodes().count()];
    this.bytesByNode = new long[scenario.nodes().count()];
    for (int i = 0; i < scenario.nodes().count(); i++) {
      SimNode node = new SimNode(this, i, nodeSeeds.nextLong());
      nodes.add(node);
      nodesByAddress.put(node.address, node);
    }
  }

  private ImmutableMap<UpstreamName, RelayUpstream> buildUpstreams(SplittableRandom random) {
    ImmutableMap.Builder<UpstreamName, RelayUpstream> all = ImmutableMap.builder();
    FleetScenario.Engines engineSpec = scenario.engines();
    for (int i = 0; i < engineSpec.prefill() + engineSpec.decode(); i++) {
      Stage stage = i < engineSpec.prefill() ? Stage.PREFILL : Stage.DECODE;
      UpstreamName id = new UpstreamName("engine-%04d".formatted(i));
      SimEngine engine = new SimEngine(time, tokens, engineSpec, stage);
      engine.setCrashListener(() -> onEngineCrash(id, engine));
      engines.put(id, engine);
      all.put(id, upstream(id, MODEL_SERVICE, engineSpec.slots(), stage));
    }
    for (int i = 0; i < scenario.plain().count(); i++) {
      UpstreamName id = new UpstreamName("plain-%04d".formatted(i));
      plainUpstreams.put(id, new SimPlain(time, scenario.plain(), random.split()));
      all.put(id, upstream(id, PLAIN_SERVICE, scenario.plain().slots(), Stage.WHOLE));
    }
    return all.buildOrThrow();
  }

  /** Restarts a crashed engine under its name as a new incarnation and notifies the nodes. */
  private void onEngineCrash(UpstreamName id, SimEngine engine) {
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
        (long) (scenario.engines().downMillis() * NANOS_PER_MILLI),
        () -> {
          engine.restart();
          upstreams.put(id, after);
          nodes.forEach(
              n ->
                  time.after(
                      network.nextLong(MAX_DISCOVERY_DELAY_NANOS), () -> n.upstreamChanged(after)));
        });
  }

  /** Counts the quarantine refusal of a caller whose request does not crash engines. */
  void quarantined(Caller caller) {
    if (caller.kind().crashing() == 0) {
      quarantined++;
    }
  }

  private static RelayUpstream upstream(
      UpstreamName id, ServiceName service, int slots, Stage stage) {
    return new RelayUpstream(
        UpstreamIncarnation.unknown(id), service, "127.0.0.1:80", DATA_CENTRE, slots, stage, false);
  }

  private RelayConfiguration buildConfiguration() {
    FleetScenario.Engines e = scenario.engines();
    return new RelayConfiguration(
        1,
        scenario.calls().stream().map(FleetModel::rule).collect(ImmutableList.toImmutableList()),
        ImmutableMap.of(
            MODEL_SERVICE,
            new ServiceBounds(MAX_CONNECTIONS, e.memoryTokens(), e.tokensPerEvent(), false),
            PLAIN_SERVICE,
            new ServiceBounds(MAX_CONNECTIONS, 0, 0, false)),
        MAX_BODY_BYTES);
  }

  private static RelayRule rule(FleetScenario.CallClass kind) {
    return new RelayRule(
        new RuleName(kind.name()),
        HOST,
        path(kind),
        ImmutableList.of(new RelayRule.Share(kind.isStream() ? MODEL_SERVICE : PLAIN_SERVICE, 1)),
        kind.isStream() ? CallKind.STREAM : CallKind.IDEMPOTENT,
        (long) kind.deadlineMillis(),
        kind.isStream() ? 1 : MAX_PLAIN_ATTEMPTS,
        (long) kind.targetMillis(),
        (long) kind.gapMillis(),
        1,
        false);
  }

  static String path(FleetScenario.CallClass kind) {
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

  void submit(Job job) {
    SimEngine engine = engines.get(job.upstream);
    if (engine != null) {
      engine.submit(job);
    } else {
      plainUpstreams.get(job.upstream).submit(job);
    }
  }

  /** Returns the result of a probe of an upstream; plain upstreams always listen. */
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

  /** Schedules an action after the one-way delay between a node and an upstream or a caller. */
  void afterUpstreamDelay(Runnable action) {
    time.after(upstreamDelayNanos, action);
  }

  /** Delivers a datagram after a random delay, or drops it. */
  void sendDatagram(SimNode from, InetSocketAddress to, byte[] message) {
    datagramsByNode[from.index]++;
    bytesByNode[from.index] += message.length;
    if (network.nextDouble() < scenario.nodes().datagramLoss()) {
      return;
    }
    double millis = scenario.nodes().datagramMillis() * (0.5 + network.nextDouble());
    time.after(
        (long) (millis * NANOS_PER_MILLI),
        () -> nodesByAddress.get(to).receive(from.address, message));
  }

  /** Returns a random node other than the previous one; the same if there is only one node. */
  SimNode randomNodeExcept(SimNode previous) {
    SimNode node = nodes.get(choices.nextInt(nodes.size()));
    return node == previous && nodes.size() > 1 ? randomNodeExcept(previous) : node;
  }

  void ended(Caller caller, CallOutcome outcome) {
    callLedgers.get(caller.kind()).ended(caller, outcome);
  }

  /**
   * Runs the simulation.
   *
   * @return the result
   * @throws IllegalStateException if a call or a token has no outcome at the end
   */
  public FleetResult run() {
    for (SimNode node : nodes) {
      node.start(choices.nextLong(LoadSharing.PERIOD_NANOS));
    }
    long begin = START_NANOS + WARM_UP_NANOS;
    scenario.calls().forEach(kind -> schedule(kind, begin));
    scenario.dark().forEach(d -> schedule(d, begin));
    scenario.nodeFaults().forEach(f -> schedule(f, begin));
    scenario.plainLimits().forEach(l -> schedule(l, begin));
    time.runUntil(begin);
    final long[] datagramsBefore = datagramsByNode.clone();
    final long[] bytesBefore = bytesByNode.clone();
    long end = begin + (long) (scenario.seconds() * NANOS_PER_SECOND);
    time.runUntil(end);
    final FleetResult.SendRate sentDatagrams = sendRates(datagramsBefore, datagramsByNode);
    final FleetResult.SendRate sentBytes = sendRates(bytesBefore, bytesByNode);
    time.runUntil(end + maxCallNanos());
    return result(sentDatagrams, sentBytes);
  }

  /** Returns the send rates per second of the nodes between two readings of their counters. */
  private FleetResult.SendRate sendRates(long[] before, long[] now) {
    double mean = 0;
    double max = 0;
    for (int i = 0; i < before.length; i++) {
      double rate = (now[i] - before[i]) / scenario.seconds();
      mean += rate / before.length;
      max = Math.max(max, rate);
    }
    return new FleetResult.SendRate(mean, max);
  }

  private long maxCallNanos() {
    double millis =
        scenario.calls().stream()
            .mapToDouble(FleetScenario.CallClass::deadlineMillis)
            .max()
            .orElse(0);
    return (long)
        (millis * NANOS_PER_MILLI
            + scenario.engines().handleMillis() * NANOS_PER_MILLI
            + NANOS_PER_SECOND);
  }

  private void schedule(FleetScenario.EngineOutage outage, long begin) {
    List<SimEngine> engineList = List.copyOf(engines.values());
    int prefillCount = scenario.engines().prefill();
    List<SimEngine> affected =
        new ArrayList<>(engineList.subList(0, Math.min(prefillCount, outage.prefill())));
    affected.addAll(
        engineList.subList(
            prefillCount, Math.min(engineList.size(), prefillCount + outage.decode())));
    long from = begin + (long) (outage.atSecond() * NANOS_PER_SECOND);
    time.at(from, () -> affected.forEach(SimEngine::stopResponding));
    time.at(
        from + (long) (outage.seconds() * NANOS_PER_SECOND),
        () -> affected.forEach(SimEngine::reset));
  }

  private void schedule(FleetScenario.PlainLimit limit, long begin) {
    List<SimPlain> affected = plainUpstreams.values().stream().limit(limit.count()).toList();
    long from = begin + (long) (limit.atSecond() * NANOS_PER_SECOND);
    time.at(from, () -> affected.forEach(p -> p.limit(limit.perSecond())));
    time.at(
        from + (long) (limit.seconds() * NANOS_PER_SECOND),
        () -> affected.forEach(SimPlain::removeLimit));
  }

  private void schedule(FleetScenario.NodeFault fault, long begin) {
    long from = begin + (long) (fault.atSecond() * NANOS_PER_SECOND);
    long until = from + (long) (fault.seconds() * NANOS_PER_SECOND);
    for (int i = fault.first(); i < fault.first() + fault.count(); i++) {
      int index = i;
      switch (fault.kind()) {
        case KILLED -> {
          time.at(from, () -> nodes.get(index).kill());
          time.at(until, () -> restartNode(index));
        }
        case FROZEN -> {
          time.at(from, () -> nodes.get(index).freeze());
          time.at(until, () -> nodes.get(index).thaw());
        }
        case SUSPENDED -> {
          time.at(from, () -> nodes.get(index).suspend());
          time.at(until, () -> nodes.get(index).resume());
        }
        case PATHS_DROPPED, PATHS_RESET, PATHS_REFUSED ->
            time.at(from, () -> nodes.get(index).losePaths(fault.kind(), until));
        default -> throw new IllegalStateException("unknown kind of node fault: " + fault.kind());
      }
    }
  }

  /** Draws the calls of a kind by thinning a Poisson process with the maximum rate. */
  private void schedule(FleetScenario.CallClass kind, long begin) {
    SplittableRandom random = arrivals.split();
    double maxPerSecond = kind.perSecond() * scenario.maxRateFactor();
    double second = 0;
    while (maxPerSecond > 0) {
      second += drawExponential(random) / maxPerSecond;
      if (second >= scenario.seconds()) {
        return;
      }
      boolean isAccepted =
          random.nextDouble() * scenario.maxRateFactor() < scenario.rateFactorAt(second);
      int prompt = drawSize(kind.promptTokens(), PROMPT_SIGMA, random);
      int output = drawSize(kind.outputTokens(), OUTPUT_SIGMA, random);
      boolean announcesOutput = random.nextDouble() < HINT_SHARE;
      if (isAccepted) {
        time.at(
            begin + (long) (second * NANOS_PER_SECOND),
            () -> startCall(kind, prompt, output, announcesOutput));
      }
    }
  }

  /** Starts a new process in place of an ended one, unless one was started already. */
  private void restartNode(int index) {
    SimNode before = nodes.get(index);
    if (before.hasEnded()) {
      ended.add(before);
      SimNode node = new SimNode(this, index, nodeSeeds.nextLong());
      nodes.set(index, node);
      nodesByAddress.put(node.address, node);
      node.start(choices.nextLong(LoadSharing.PERIOD_NANOS));
    }
  }

  /** Draws a size from a log-normal distribution, capped at a multiple of its mean. */
  private static int drawSize(int mean, double sigma, SplittableRandom random) {
    double factor = Math.exp(sigma * drawGaussian(random) - sigma * sigma / 2);
    return mean == 0
        ? 0
        : (int) Math.max(1, mean * Math.min(FleetScenario.MAX_SIZE_FACTOR, factor));
  }

  /** Draws from the standard normal distribution by the Box-Muller transform. */
  private static double drawGaussian(SplittableRandom random) {
    double radius = Math.sqrt(2 * drawExponential(random));
    return radius * Math.cos(2 * Math.PI * random.nextDouble());
  }

  private static double drawExponential(SplittableRandom random) {
    return -Math.log(1 - random.nextDouble());
  }

  private void startCall(
      FleetScenario.CallClass kind, int prompt, int output, boolean announcesOutput) {
    callLedgers.get(kind).started();
    callerCount++;
    String name =
        kind.crashing() > 0 ? "crash-" + callerCount % kind.crashing() : "call-" + callerCount;
    new Caller(this, kind, name, prompt, output, announcesOutput).start();
  }

  private FleetResult result(FleetResult.SendRate datagrams, FleetResult.SendRate bytes) {
    int inProgress =
        nodes.stream().filter(n -> !n.hasEnded()).mapToInt(SimNode::callsInProgress).sum();
    if (inProgress > 0) {
      throw new IllegalStateException(
          inProgress + " calls are still in progress at nodes after the last deadline");
    }
    return new FleetResult(
        seed,
        callLedgers.values().stream()
            .map(CallLedger::close)
            .collect(ImmutableList.toImmutableList()),
        tokens.close(),
        Stream.concat(nodes.stream(), ended.stream())
            .mapToLong(SimNode::reportedWastedTokens)
            .sum(),
        engines.values().stream().mapToInt(SimEngine::preemptions).sum(),
        engines.values().stream().mapToInt(SimEngine::declined).sum()
            + plainUpstreams.values().stream().mapToInt(SimPlain::declined).sum(),
        engines.values().stream().mapToDouble(SimEngine::maxMemoryShare).max().orElse(0),
        datagrams,
        bytes,
        crashes,
        quarantined,
        plainUpstreams.values().stream().mapToDouble(SimPlain::maxLimitUsage).max().orElse(0));
  }
}
