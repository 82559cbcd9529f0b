/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.world;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.primitives.ImmutableLongArray;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.larkkeel.effect.Effect;
import org.larkkeel.event.Event;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.peer.membership.HostEntry;
import org.larkkeel.peer.membership.NodeAddress;
import org.larkkeel.store.log.AppendResult;
import org.larkkeel.store.log.LogEntry;

/**
 * Three nodes, their upstreams and the platform in virtual time, with faults at chosen steps.
 *
 * <p>The same seed and injections give the same run. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class World {
  /** Nodes. */
  public static final int NODES = 3;

  /** When scenarios begin: the nodes know each other and the configuration by then. */
  public static final long START = 12 * VirtualTime.SECOND;

  /** Pieces of the answer to a completion. */
  public static final int ANSWER_TOKENS = 24;

  private static final long HOST_LIST_EVERY = 5 * VirtualTime.SECOND;
  private static final long REPORT_EVERY = 250 * VirtualTime.MILLI;
  private static final long REPORT_LAG = 100 * VirtualTime.MILLI;
  private static final long CACHE_LAG = 300 * VirtualTime.MILLI;
  private static final long STALE_BY = 4 * VirtualTime.SECOND;
  private static final long NODE_RESTART = 3 * VirtualTime.SECOND;
  private static final long LATE_ANSWER = 2_500 * VirtualTime.MILLI;
  private static final long OPERATOR_RETRY = 500 * VirtualTime.MILLI;
  private static final int OPERATOR_TRIES = 40;
  private static final int PORT = 7400;

  private final long seed;
  private final VirtualTime time = new VirtualTime();
  private final VirtualTime.Process platform = time.newProcess();
  private final Store store = new Store();
  private final StoreFaults storeFaults = new StoreFaults();
  private final PeerFaults peerFaults;
  private final Injector injector;
  private final Observations seen = new Observations();
  private final Map<UpstreamName, Engine> engines = new LinkedHashMap<>();
  private final List<Node> nodes = new ArrayList<>();
  private final Node[] current = new Node[NODES];
  private final Set<RequestId> subjects = new HashSet<>();
  private final Map<RequestId, UpstreamName> lastUpstream = new HashMap<>();
  private final Callers callers = new Callers(this);
  private UpstreamName focus = new UpstreamName("decode-a");
  private int stalls;
  private int lateAnswers;
  private int staleLoads;

  /**
   * Starts the nodes.
   *
   * @param seed the seed of everything that happens by chance
   * @param injections the faults
   */
  public World(long seed, List<Injection> injections) {
    this.seed = seed;
    this.peerFaults = new PeerFaults(time, seed);
    this.injector = new Injector(this, injections);
    Configurations.upstreams()
        .forEach(
            (name, role) -> engines.put(name, new Engine(this, name, role, Configurations.SLOTS)));
    for (int i = 0; i < NODES; i++) {
      startNode(i, 1);
    }
    operate(0, Optional.empty());
    hostList();
    engines.values().forEach(this::report);
    time.runUntil(START);
    injector.arm();
  }

  /**
   * Runs on.
   *
   * @param nanos how long
   */
  public void run(long nanos) {
    time.runUntil(time.now() + nanos);
  }

  /**
   * Runs on.
   *
   * @param end until when
   */
  public void runTo(long end) {
    time.runUntil(end);
  }

  /**
   * The present time.
   *
   * @return nanoseconds
   */
  public long now() {
    return time.now();
  }

  /**
   * What everybody outside saw.
   *
   * @return the observations so far
   */
  public Observations seen() {
    return seen;
  }

  /**
   * Sends requests.
   *
   * @return the callers
   */
  public Callers callers() {
    return callers;
  }

  /** Ends the part of the run in which faults come about. */
  public void endFaults() {
    injector.disarm();
  }

  /**
   * The places that the subject of the run reached.
   *
   * @return the places, in the order of the first time
   */
  public Set<Place> places() {
    return injector.places();
  }

  /**
   * Tells whether every fault came about.
   *
   * @return false if a step was not reached
   */
  public boolean hasInjectedAll() {
    return injector.hasInjectedAll();
  }

  /**
   * When the last fault ended.
   *
   * @return nanoseconds, 0 if there was none
   */
  public long healedAt() {
    return injector.healedAt();
  }

  /**
   * Begins a planned stop of a node.
   *
   * @param index which
   */
  public void stopNode(int index) {
    current[index].stop();
  }

  /**
   * Kills a node, whose host starts another one later.
   *
   * @param index which
   */
  public void killNode(int index) {
    current[index].kill();
  }

  /**
   * Kills the upstream that the subject used last, which comes back later.
   *
   * @param downtime nanoseconds
   */
  public void killLastUpstream(long downtime) {
    Engine engine = engine(focus);
    engine.kill();
    platform.after(downtime, engine::restart);
  }

  /**
   * An operator changes the configuration through a node.
   *
   * @param index which node
   * @param leaving the upstream to take no new work, empty to change something else
   */
  public void operate(int index, Optional<UpstreamName> leaving) {
    platform.execute(() -> new OperatorCall(index, leaving).begin());
  }

  VirtualTime time() {
    return time;
  }

  long seed() {
    return seed;
  }

  VirtualTime.Process platform() {
    return platform;
  }

  Store store() {
    return store;
  }

  StoreFaults storeFaults() {
    return storeFaults;
  }

  PeerFaults peerFaults() {
    return peerFaults;
  }

  Engine engine(UpstreamName name) {
    return engines.get(name);
  }

  Collection<Engine> engines() {
    return engines.values();
  }

  Node node(int index) {
    return current[index];
  }

  boolean isLinkStalled() {
    return stalls > 0;
  }

  void setLinkStalled(boolean begins) {
    stalls += begins ? 1 : -1;
  }

  void setAnswersLate(boolean begins) {
    lateAnswers += begins ? 1 : -1;
  }

  void setLoadStale(boolean begins) {
    staleLoads += begins ? 1 : -1;
  }

  long answerDelay() {
    return lateAnswers > 0 ? LATE_ANSWER : 0;
  }

  void addSubject(RequestId request) {
    subjects.add(request);
  }

  boolean isSubject(RequestId request) {
    return subjects.contains(request);
  }

  void subjectLeaves() {
    subjects.forEach(callers::leave);
  }

  void hook(Object step, Moment moment, Node node, RequestId request) {
    UpstreamName upstream = upstreamOf(step);
    if (upstream != null && request != null) {
      lastUpstream.put(request, upstream);
      if (isSubject(request)) {
        focus = upstream;
      }
    }
    UpstreamName concerned =
        upstream != null ? upstream : lastUpstream.getOrDefault(request, focus);
    injector.reached(new Place(step.getClass(), moment), node, request, concerned);
  }

  NodeAddress address(HostName host) {
    return NodeAddress.of(new byte[] {10, 0, 0, (byte) indexOf(host)}, PORT);
  }

  Optional<Node> nodeAt(NodeAddress address) {
    return running(current[address.ip()[3]]);
  }

  Optional<Node> nodeOn(HostName host) {
    return running(current[indexOf(host)]);
  }

  void nodeDied(Node node) {
    seen.start(node.number).endedAt = time.now();
    int index = indexOf(node.host);
    if (current[index] == node) {
      platform.after(NODE_RESTART, () -> startNode(index, node.incarnation.value() + 1));
    }
  }

  private static Optional<Node> running(Node node) {
    return node.process.isDead() ? Optional.empty() : Optional.of(node);
  }

  private void startNode(int index, long incarnation) {
    Node node = new Node(this, nodes.size(), new HostName("entry-" + index), incarnation);
    nodes.add(node);
    seen.started(new Observations.Start(node.number, time.now()));
    current[index] = node;
    node.start();
    node.peers().hostList(hosts());
  }

  private static int indexOf(HostName host) {
    String name = host.value();
    return Integer.parseInt(name.substring(name.lastIndexOf('-') + 1));
  }

  private List<HostEntry> hosts() {
    List<HostEntry> hosts = new ArrayList<>();
    for (int i = 0; i < NODES; i++) {
      HostName host = new HostName("entry-" + i);
      hosts.add(new HostEntry(host, address(host), false));
    }
    return hosts;
  }

  private void hostList() {
    for (Node node : current) {
      node.process.execute(() -> node.peers().hostList(hosts()));
    }
    platform.after(HOST_LIST_EVERY, this::hostList);
  }

  private void report(Engine engine) {
    for (Node node : current) {
      Event event = reportOf(engine);
      long lag = staleLoads > 0 ? STALE_BY : REPORT_LAG;
      node.process.after(lag, () -> node.apply(at(event)));
    }
    platform.after(REPORT_EVERY, () -> report(engine));
  }

  /** Tells the nodes, late, that an engine keeps the prefix of the prompts. */
  void publishCache(Engine engine, long sequence) {
    Incarnation incarnation = engine.incarnation();
    for (Node node : current) {
      node.process.after(
          CACHE_LAG,
          () ->
              node.apply(
                  new Event.CacheChanged(
                      time.now(),
                      engine.name,
                      incarnation,
                      sequence,
                      Callers.PREFIXES.keys(),
                      ImmutableLongArray.of())));
    }
  }

  private Event reportOf(Engine engine) {
    return engine.answers()
        ? new Event.LoadReported(time.now(), engine.name, engine.report())
        : new Event.LoadUnavailable(time.now(), engine.name);
  }

  private Event at(Event event) {
    return switch (event) {
      case Event.LoadReported reported ->
          new Event.LoadReported(time.now(), reported.upstream(), reported.report());
      case Event.LoadUnavailable silent -> new Event.LoadUnavailable(time.now(), silent.upstream());
      default -> event;
    };
  }

  private static UpstreamName upstreamOf(Object step) {
    return switch (step) {
      case Effect.StartPrefill e -> e.upstream();
      case Effect.StartTransfer e -> e.to();
      case Effect.StartDecode e -> e.upstream();
      case Effect.SendPlain e -> e.upstream();
      case Effect.Cancel e -> e.upstream();
      case Effect.WantSlots e -> e.upstream();
      case Event.LoadReported e -> e.upstream();
      case Event.LoadUnavailable e -> e.upstream();
      case Event.CacheChanged e -> e.upstream();
      case Event.SlotsGranted e -> e.upstream();
      default -> null;
    };
  }

  /** One change of the configuration, with the retries of an operator's command. */
  private final class OperatorCall {
    private final int index;
    private final Optional<UpstreamName> leaving;
    private int tries;

    OperatorCall(int index, Optional<UpstreamName> leaving) {
      this.index = index;
      this.leaving = leaving;
    }

    void begin() {
      Node node = current[index];
      tries++;
      if (node.process.isDead()) {
        retry();
        return;
      }
      JsonNode record =
          JsonNodeFactory.instance
              .objectNode()
              .put(NodeConfig.LEAVING, leaving.map(UpstreamName::value).orElse(""));
      NodeConfig config = node.config();
      LogEntry entry =
          LogEntry.records(config.last() + 1, config.log().nextAppend(), List.of(record));
      config.log().append(entry).call().thenAccept(result -> settled(config, result));
    }

    private void settled(NodeConfig config, AppendResult result) {
      switch (result) {
        case AppendResult.Appended appended -> {
          long revision = appended.entry().number();
          seen.addAccepted(new Observations.Accepted(new Revision(revision), leaving, time.now()));
          config.offer(appended.entry());
        }
        case AppendResult.Lost lost -> {
          lost.winner().ifPresent(config::offer);
          retry();
        }
        case AppendResult.NotAppended refused -> retry();
        case AppendResult.Unresolved unresolved -> retry();
        case AppendResult.Forgotten forgotten -> retry();
      }
    }

    private void retry() {
      if (tries < OPERATOR_TRIES) {
        platform.after(OPERATOR_RETRY, this::begin);
      }
    }
  }
}
