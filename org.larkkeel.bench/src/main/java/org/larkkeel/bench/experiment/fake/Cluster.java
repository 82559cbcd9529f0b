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
import org.larkkeel.bench.experiment.policy.Subject;
import org.larkkeel.bench.experiment.policy.Subjects;
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
 * The fakes of one run, wired together on one timeline.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Cluster {
  private static final long SAMPLE_EVERY = 20 * Scenario.MILLI;
  private static final long SEED_STEP = 1000;
  private static final long SETTLING = 30 * Scenario.SECOND;

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
   * @param seed the seed of what happens by chance outside the routers
   * @param subjects makes the router of a node
   */
  public Cluster(
      Scenario scenario,
      ImmutableList<Arrival> arrivals,
      ImmutableList<Occurrence> faults,
      long seed,
      Subjects.Factory subjects) {
    this.scenario = scenario;
    this.ledger = new Ledger(arrivals);
    this.random = new SplittableRandom(seed * 31 + 7);
    int sharing = scenario.sharedSlots() ? scenario.nodes() : 1;
    this.grants =
        new SlotGrants(
            time,
            sharing,
            name -> upstream(name).member.group().slots(),
            (node, name) -> upstream(name).heldBy(node),
            (node, event) -> nodes.get(node).apply(event));
    for (Member member : Members.all(scenario)) {
      Upstream upstream = build(member);
      upstreams.put(upstream.name, upstream);
    }
    addNodes(seed, subjects);
    scheduleReports();
    faults.forEach(this::schedule);
    SplittableRandom balancer = random.split();
    for (Arrival arrival : arrivals) {
      Node node = nodes.get(balancer.nextInt(nodes.size()));
      time.at(arrival.at(), () -> node.arrive(arrival));
    }
    time.at(Scenario.START, this::sample);
  }

  /**
   * Runs until every request has had its time.
   *
   * @return what happened
   */
  public Ledger run() {
    long longest = 0;
    for (Scenario.RequestClass kind : scenario.classes()) {
      longest = Math.max(longest, kind.deadline());
    }
    time.runUntil(scenario.end() + longest + SETTLING);
    int held = upstreams.values().stream().mapToInt(Upstream::held).sum();
    ledger.close(held);
    return ledger;
  }

  /**
   * How busy the generations were while completions waited.
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

  private void addNodes(long seed, Subjects.Factory subjects) {
    List<String> places =
        upstreams.values().stream().map(u -> u.member.dataCentre()).distinct().toList();
    ImmutableSortedSet.Builder<HostName> hosts = ImmutableSortedSet.naturalOrder();
    for (int i = 0; i < scenario.nodes(); i++) {
      hosts.add(host(i));
    }
    Configuration configuration = Setup.of(scenario);
    for (int i = 0; i < scenario.nodes(); i++) {
      String place = places.get(i % places.size());
      Subject subject =
          subjects.create(new Subjects.Place(seed + SEED_STEP * i, place, scenario.sharedSlots()));
      Node node = new Node(i, place, subject, this);
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
    if (!upstream.alive() || upstream.frozen()) {
      toAll(at -> new Event.LoadUnavailable(at, upstream.name));
    } else {
      LoadReport report = upstream.report();
      time.after(
          scenario.platform().reportLag(),
          () -> toAll(at -> new Event.LoadReported(at, upstream.name, report)));
    }
    time.after(scenario.platform().reportEvery(), () -> report(upstream));
  }

  private void toAll(LongFunction<Event> event) {
    for (Node node : nodes) {
      node.apply(event.apply(time.now()));
    }
  }

  private void sample() {
    if (ledger.waiting() > 0) {
      busy.sample(upstreams.values());
    }
    if (time.now() < scenario.end()) {
      time.after(SAMPLE_EVERY, this::sample);
    }
  }

  private void schedule(Occurrence fault) {
    Upstream upstream =
        fault.upstream().isEmpty() ? null : upstream(new UpstreamName(fault.upstream()));
    switch (fault.type()) {
      case KILL -> between(fault, upstream::kill, upstream::restart);
      case FREEZE -> between(fault, upstream::freeze, upstream::thaw);
      case STALL -> {
        Link link = linkOf(upstream);
        if (link != null) {
          between(fault, link::stall, link::unstall);
        }
      }
      case EVICT_ALL -> time.at(fault.from(), () -> evictAll(upstream));
      case STORE_DOWN -> between(fault, store::goDown, store::comeBack);
      default -> throw new IllegalStateException("no such fault: " + fault.type());
    }
  }

  private void between(Occurrence fault, Runnable begin, Runnable end) {
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

  /** Publishes the changes of one prefix cache, late and with gaps. */
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
              toAll(
                  at ->
                      new Event.CacheChanged(
                          at, name, incarnation, number, change.stored(), change.removed())));
    }
  }
}
