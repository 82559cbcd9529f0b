/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fake;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.LongFunction;
import org.larkkeel.bench.experiment.policy.RoutingPolicies;
import org.larkkeel.bench.experiment.policy.RoutingPolicy;
import org.larkkeel.bench.experiment.scenario.Arrival;
import org.larkkeel.bench.experiment.scenario.FaultPlan.Occurrence;
import org.larkkeel.bench.experiment.scenario.Members;
import org.larkkeel.bench.experiment.scenario.Members.Member;
import org.larkkeel.bench.experiment.scenario.Scenario;
import org.larkkeel.bench.experiment.scenario.Scenario.Platform;
import org.larkkeel.config.Configuration;
import org.larkkeel.event.Event;
import org.larkkeel.event.LoadReport;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.UpstreamName;

/**
 * Connects the fakes of one run on a common timeline.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Cluster {
  private static final long SAMPLE_INTERVAL_NANOS = 20 * Scenario.NANOS_PER_MILLI;
  private static final long SEED_STEP = 1000;
  private static final long SETTLING_NANOS = 30 * Scenario.NANOS_PER_SECOND;

  private final Scenario scenario;
  private final Timeline time = new Timeline(0);
  private final Ledger ledger;
  private final RunStore store = new RunStore();
  private final BusyMeter busy = new BusyMeter();
  private final Map<UpstreamName, Upstream> upstreams = new LinkedHashMap<>();
  private final List<Node> nodes = new ArrayList<>();
  private final SlotGrants grants;
  private final SplittableRandom random;

  /**
   * Builds the fakes.
   *
   * @param scenario the scenario
   * @param arrivals the requests
   * @param faults the faults
   * @param seed the seed of random events outside the routers
   * @param routers creates the routers of the nodes
   */
  public Cluster(
      Scenario scenario,
      ImmutableList<Arrival> arrivals,
      ImmutableList<Occurrence> faults,
      long seed,
      RoutingPolicies.Factory routers) {
    this.scenario = scenario;
    this.ledger = new Ledger(arrivals);
    this.random = new SplittableRandom(seed * 31 + 7);
    int sharingNodes = scenario.sharedSlots() ? scenario.nodes() : 1;
    this.grants =
        new SlotGrants(
            time,
            sharingNodes,
            name -> upstream(name).member.group().slots(),
            (node, name) -> upstream(name).heldByNode(node),
            (node, event) -> nodes.get(node).apply(event));
    for (Member member : Members.all(scenario)) {
      Upstream upstream = build(member);
      upstreams.put(upstream.name, upstream);
    }
    addNodes(seed, routers);
    scheduleReports();
    faults.forEach(this::schedule);
    SplittableRandom balancer = random.split();
    for (Arrival arrival : arrivals) {
      Node node = nodes.get(balancer.nextInt(nodes.size()));
      time.at(arrival.at(), () -> node.receiveRequest(arrival));
    }
    time.at(Scenario.ARRIVALS_START_NANOS, this::sample);
  }

  /**
   * Runs the simulation until the last request has passed its deadline.
   *
   * @return the results of all requests
   */
  public Ledger run() {
    long maxDeadline = 0;
    for (Scenario.RequestClass kind : scenario.classes()) {
      maxDeadline = Math.max(maxDeadline, kind.deadline());
    }
    time.runUntil(scenario.end() + maxDeadline + SETTLING_NANOS);
    int held = upstreams.values().stream().mapToInt(Upstream::heldAttempts).sum();
    ledger.recordOpenEnds(held);
    return ledger;
  }

  /**
   * Returns the busy shares of the generations while completions waited.
   *
   * @return the meter
   */
  public BusyMeter busy() {
    return busy;
  }

  Timeline time() {
    return time;
  }

  Ledger ledger() {
    return ledger;
  }

  RunStore store() {
    return store;
  }

  SlotGrants grants() {
    return grants;
  }

  Platform platform() {
    return scenario.platform();
  }

  Upstream upstream(UpstreamName name) {
    return upstreams.get(name);
  }

  private Upstream build(Member member) {
    return switch (member.group().role()) {
      case PREFILL -> {
        UpstreamName name = new UpstreamName(member.name());
        CacheFeed feed = new CacheFeed(name, random.split());
        yield new PrefillEngine(time, ledger, member, scenario.kvBytesPerToken(), feed::publish);
      }
      case DECODE -> new DecodeEngine(time, ledger, member);
      case SERVICE -> new Service(time, ledger, member, random.split());
    };
  }

  private void addNodes(long seed, RoutingPolicies.Factory routers) {
    List<String> dataCentres =
        upstreams.values().stream().map(u -> u.member.dataCentre()).distinct().toList();
    ImmutableSortedSet.Builder<HostName> hosts = ImmutableSortedSet.naturalOrder();
    for (int i = 0; i < scenario.nodes(); i++) {
      hosts.add(host(i));
    }
    Configuration configuration = ScenarioConfiguration.of(scenario);
    for (int i = 0; i < scenario.nodes(); i++) {
      String dataCentre = dataCentres.get(i % dataCentres.size());
      RoutingPolicy router =
          routers.create(
              new RoutingPolicies.NodeContext(
                  seed + SEED_STEP * i, dataCentre, scenario.sharedSlots()));
      Node node = new Node(i, dataCentre, router, this);
      nodes.add(node);
      ImmutableSortedSet<HostName> live =
          scenario.sharedSlots() ? hosts.build() : ImmutableSortedSet.of(host(i));
      time.at(0, () -> node.apply(new Event.ConfigurationAccepted(time.now(), configuration)));
      time.at(0, () -> node.apply(new Event.PeersChanged(time.now(), live)));
    }
  }

  private static HostName host(int number) {
    return new HostName("node-" + number);
  }

  private void scheduleReports() {
    long period = scenario.platform().reportEvery();
    int number = 0;
    for (Upstream upstream : upstreams.values()) {
      long offset = period * number++ / upstreams.size();
      time.at(offset, () -> report(upstream));
    }
  }

  private void report(Upstream upstream) {
    if (!upstream.isAlive() || upstream.frozen()) {
      sendToAllNodes(at -> new Event.LoadUnavailable(at, upstream.name));
    } else {
      LoadReport report = upstream.report();
      time.after(
          scenario.platform().reportLag(),
          () -> sendToAllNodes(at -> new Event.LoadReported(at, upstream.name, report)));
    }
    time.after(scenario.platform().reportEvery(), () -> report(upstream));
  }

  private void sendToAllNodes(LongFunction<Event> event) {
    for (Node node : nodes) {
      node.apply(event.apply(time.now()));
    }
  }

  private void sample() {
    if (ledger.waiting() > 0) {
      busy.sample(upstreams.values());
    }
    if (time.now() < scenario.end()) {
      time.after(SAMPLE_INTERVAL_NANOS, this::sample);
    }
  }

  private void schedule(Occurrence fault) {
    Upstream upstream =
        fault.upstream().isEmpty() ? null : upstream(new UpstreamName(fault.upstream()));
    switch (fault.type()) {
      case KILL -> scheduleBetween(fault, upstream::kill, upstream::restart);
      case FREEZE -> scheduleBetween(fault, upstream::freeze, upstream::thaw);
      case STALL -> {
        Link link = linkOf(upstream);
        if (link != null) {
          scheduleBetween(fault, link::stall, link::unstall);
        }
      }
      case EVICT_ALL -> time.at(fault.from(), () -> evictAll(upstream));
      case STORE_DOWN -> scheduleBetween(fault, store::startOutage, store::endOutage);
      default -> throw new IllegalStateException("unknown type of fault: " + fault.type());
    }
  }

  private void scheduleBetween(Occurrence fault, Runnable begin, Runnable end) {
    time.at(fault.from(), begin);
    time.at(fault.until(), end);
  }

  private static Link linkOf(Upstream upstream) {
    return switch (upstream) {
      case PrefillEngine engine -> engine.link;
      case DecodeEngine engine -> engine.link;
      case Service service -> null;
    };
  }

  private static void evictAll(Upstream upstream) {
    if (upstream instanceof PrefillEngine engine) {
      engine.evictAll();
    }
  }

  /** Publishes the changes of one prefix cache with a delay and with losses. */
  private final class CacheFeed {
    private final UpstreamName name;
    private final SplittableRandom gaps;
    private long sequence;

    CacheFeed(UpstreamName name, SplittableRandom gaps) {
      this.name = name;
      this.gaps = gaps;
    }

    void publish(PrefixCache.Change change) {
      long number = ++sequence;
      Incarnation incarnation = upstream(name).incarnation();
      if (gaps.nextDouble() < scenario.platform().cacheEventGapShare()) {
        return;
      }
      time.after(
          scenario.platform().cacheEventLag(),
          () ->
              sendToAllNodes(
                  at ->
                      new Event.CacheChanged(
                          at, name, incarnation, number, change.stored(), change.removed())));
    }
  }
}
