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
 * A simulated cluster in virtual time: three nodes, their upstreams and the platform, with faults
 * that are injected at chosen steps.
 *
 * <p>Runs are deterministic: the same seed, injections and calls give the same run. Not safe for
 * use by several threads.
 *
 * @since 0.1
 */
public final class World {
  /** The number of nodes. */
  public static final int NODES = 3;

  /**
   * The virtual time at which scenarios start. The nodes know each other and the configuration by
   * then.
   */
  public static final long SCENARIO_START_NANOS = 12 * VirtualTime.SECOND;

  /** The number of tokens in the answer to a completion. */
  public static final int ANSWER_TOKENS = 24;

  private static final long HOST_LIST_INTERVAL_NANOS = 5 * VirtualTime.SECOND;
  private static final long REPORT_INTERVAL_NANOS = 250 * VirtualTime.MILLI;
  private static final long REPORT_DELAY_NANOS = 100 * VirtualTime.MILLI;
  private static final long CACHE_DELAY_NANOS = 300 * VirtualTime.MILLI;
  private static final long STALE_REPORT_DELAY_NANOS = 4 * VirtualTime.SECOND;
  private static final long NODE_RESTART_DELAY_NANOS = 3 * VirtualTime.SECOND;
  private static final long LATE_ANSWER_DELAY_NANOS = 2_500 * VirtualTime.MILLI;
  private static final long OPERATOR_RETRY_DELAY_NANOS = 500 * VirtualTime.MILLI;
  private static final int MAX_OPERATOR_ATTEMPTS = 40;
  private static final int PORT = 7400;

  private final long seed;
  private final VirtualTime time = new VirtualTime();
  private final VirtualTime.Process platform = time.newProcess();
  private final Store store = new Store();
  private final StoreFaults storeFaults = new StoreFaults();
  private final PeerFaults peerFaults;
  private final Injector injector;
  private final Observations observations = new Observations();
  private final Map<UpstreamName, Engine> engines = new LinkedHashMap<>();
  private final List<Node> allNodes = new ArrayList<>();
  private final Node[] currentNodes = new Node[NODES];
  private final Set<RequestId> subjects = new HashSet<>();
  private final Map<RequestId, UpstreamName> lastUpstream = new HashMap<>();
  private final Callers callers = new Callers(this);
  private UpstreamName subjectUpstream = new UpstreamName("decode-a");
  private int stalls;
  private int lateAnswers;
  private int staleLoads;

  /**
   * Starts the nodes and advances the virtual time to {@link #SCENARIO_START_NANOS}.
   *
   * @param seed the seed of all random choices
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
    changeConfiguration(0, Optional.empty());
    publishHostList();
    engines.values().forEach(this::publishLoad);
    time.runUntil(SCENARIO_START_NANOS);
    injector.arm();
  }

  /**
   * Advances the virtual time by a duration.
   *
   * @param nanos the duration
   */
  public void run(long nanos) {
    time.runUntil(time.now() + nanos);
  }

  /**
   * Advances the virtual time to a point in time.
   *
   * @param end the time in nanoseconds
   */
  public void runTo(long end) {
    time.runUntil(end);
  }

  /**
   * Returns the current virtual time.
   *
   * @return nanoseconds
   */
  public long now() {
    return time.now();
  }

  /**
   * Returns the observations of callers, engines, services, operators and the platform.
   *
   * @return the observations so far
   */
  public Observations observations() {
    return observations;
  }

  /**
   * Returns the callers, which send requests.
   *
   * @return the callers
   */
  public Callers callers() {
    return callers;
  }

  /** Stops the injection of faults. Faults that are active end after their own duration. */
  public void disarmFaults() {
    injector.disarm();
  }

  /**
   * Returns the injection points that the subject requests of the run reached.
   *
   * @return the points, in the order in which they were first reached
   */
  public Set<InjectionPoint> reachedPoints() {
    return injector.reachedPoints();
  }

  /**
   * Returns whether every fault was injected.
   *
   * @return false if a step was not reached
   */
  public boolean hasInjectedAll() {
    return injector.hasInjectedAll();
  }

  /**
   * Returns the time at which the last fault ends.
   *
   * @return nanoseconds, 0 if no fault with a recovery time was injected
   */
  public long faultsEndedAt() {
    return injector.faultsEndedAt();
  }

  /**
   * Starts a planned stop of a node.
   *
   * @param index the index of the node
   */
  public void stopNode(int index) {
    currentNodes[index].stop();
  }

  /**
   * Kills a node. Its host starts a new incarnation later.
   *
   * @param index the index of the node
   */
  public void killNode(int index) {
    currentNodes[index].kill();
  }

  /**
   * Kills the upstream that the subject request used last, and restarts it later.
   *
   * @param downtime the time until the restart in nanoseconds
   */
  public void killLastUpstream(long downtime) {
    Engine engine = engine(subjectUpstream);
    engine.kill();
    platform.after(downtime, engine::restart);
  }

  /**
   * Changes the configuration through a node, as an operator does.
   *
   * @param index the index of the node
   * @param leaving the upstream to mark as leaving, empty for another change
   */
  public void changeConfiguration(int index, Optional<UpstreamName> leaving) {
    platform.execute(() -> new ConfigurationChange(index, leaving).attempt());
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
    return currentNodes[index];
  }

  boolean isLinkStalled() {
    return stalls > 0;
  }

  void setLinkStalled(boolean active) {
    stalls += active ? 1 : -1;
  }

  void setAnswersLate(boolean active) {
    lateAnswers += active ? 1 : -1;
  }

  void setLoadStale(boolean active) {
    staleLoads += active ? 1 : -1;
  }

  long answerDelay() {
    return lateAnswers > 0 ? LATE_ANSWER_DELAY_NANOS : 0;
  }

  void addSubject(RequestId request) {
    subjects.add(request);
  }

  boolean isSubject(RequestId request) {
    return subjects.contains(request);
  }

  void disconnectSubjects() {
    subjects.forEach(callers::disconnect);
  }

  void reachStep(Object step, Moment moment, Node node, RequestId request) {
    UpstreamName upstream = upstreamOf(step);
    if (upstream != null && request != null) {
      lastUpstream.put(request, upstream);
      if (isSubject(request)) {
        subjectUpstream = upstream;
      }
    }
    UpstreamName targetUpstream =
        upstream != null ? upstream : lastUpstream.getOrDefault(request, subjectUpstream);
    injector.reach(new InjectionPoint(step.getClass(), moment), node, request, targetUpstream);
  }

  NodeAddress address(HostName host) {
    return NodeAddress.of(new byte[] {10, 0, 0, (byte) indexOf(host)}, PORT);
  }

  Optional<Node> nodeAt(NodeAddress address) {
    return running(currentNodes[address.ip()[3]]);
  }

  Optional<Node> nodeOn(HostName host) {
    return running(currentNodes[indexOf(host)]);
  }

  void onNodeDeath(Node node) {
    observations.incarnation(node.number).endedAt = time.now();
    int index = indexOf(node.host);
    if (currentNodes[index] == node) {
      platform.after(
          NODE_RESTART_DELAY_NANOS, () -> startNode(index, node.incarnation.value() + 1));
    }
  }

  private static Optional<Node> running(Node node) {
    return node.process.isDead() ? Optional.empty() : Optional.of(node);
  }

  private void startNode(int index, long incarnation) {
    Node node = new Node(this, allNodes.size(), new HostName("entry-" + index), incarnation);
    allNodes.add(node);
    observations.addIncarnation(new Observations.NodeIncarnation(node.number, time.now()));
    currentNodes[index] = node;
    node.start();
    node.peers().setHosts(hosts());
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

  private void publishHostList() {
    for (Node node : currentNodes) {
      node.process.execute(() -> node.peers().setHosts(hosts()));
    }
    platform.after(HOST_LIST_INTERVAL_NANOS, this::publishHostList);
  }

  private void publishLoad(Engine engine) {
    for (Node node : currentNodes) {
      Event event = loadEvent(engine);
      long delay = staleLoads > 0 ? STALE_REPORT_DELAY_NANOS : REPORT_DELAY_NANOS;
      node.process.after(delay, () -> node.apply(withCurrentTime(event)));
    }
    platform.after(REPORT_INTERVAL_NANOS, () -> publishLoad(engine));
  }

  /**
   * Reports to all nodes, after a delay, that an engine caches the shared prefix of the prompts.
   */
  void publishCache(Engine engine, long sequence) {
    Incarnation incarnation = engine.incarnation();
    for (Node node : currentNodes) {
      node.process.after(
          CACHE_DELAY_NANOS,
          () ->
              node.apply(
                  new Event.CacheChanged(
                      time.now(),
                      engine.name,
                      incarnation,
                      sequence,
                      Callers.SHARED_PREFIX.keys(),
                      ImmutableLongArray.of())));
    }
  }

  private Event loadEvent(Engine engine) {
    return engine.isAvailable()
        ? new Event.LoadReported(time.now(), engine.name, engine.report())
        : new Event.LoadUnavailable(time.now(), engine.name);
  }

  private Event withCurrentTime(Event event) {
    return switch (event) {
      case Event.LoadReported reported ->
          new Event.LoadReported(time.now(), reported.upstream(), reported.report());
      case Event.LoadUnavailable unavailable ->
          new Event.LoadUnavailable(time.now(), unavailable.upstream());
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

  /** One configuration change with the retries of an operator's command. */
  private final class ConfigurationChange {
    private final int index;
    private final Optional<UpstreamName> leaving;
    private int attempts;

    ConfigurationChange(int index, Optional<UpstreamName> leaving) {
      this.index = index;
      this.leaving = leaving;
    }

    void attempt() {
      Node node = currentNodes[index];
      attempts++;
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
          LogEntry.records(
              config.lastEntryNumber() + 1, config.log().nextAppend(), List.of(record));
      config.log().append(entry).call().thenAccept(result -> onAppendResult(config, result));
    }

    private void onAppendResult(NodeConfig config, AppendResult result) {
      switch (result) {
        case AppendResult.Appended appended -> {
          long revision = appended.entry().number();
          observations.addAccepted(
              new Observations.Accepted(new Revision(revision), leaving, time.now()));
          config.offer(appended.entry());
        }
        case AppendResult.PositionTaken lost -> {
          lost.winner().ifPresent(config::offer);
          retry();
        }
        case AppendResult.NotAppended notAppended -> retry();
        case AppendResult.Unresolved unresolved -> retry();
        case AppendResult.PositionTruncated forgotten -> retry();
      }
    }

    private void retry() {
      if (attempts < MAX_OPERATOR_ATTEMPTS) {
        platform.after(OPERATOR_RETRY_DELAY_NANOS, this::attempt);
      }
    }
  }
}
