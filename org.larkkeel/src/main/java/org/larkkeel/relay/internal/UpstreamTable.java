/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.relay.PromptKey;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.Stage;

/**
 * The known upstreams, and the choice among them.
 *
 * <p>Invariant: an upstream that is leaving, or that has been missing for {@code missingNanos}, is
 * never chosen. Not thread-safe.
 */
final class UpstreamTable implements UpstreamState.Environment {
  /** The cost factor of an upstream with a rate limit. */
  private static final double RATE_LIMITED_FACTOR = 1.25;

  /**
   * The cost factor of an upstream with a rate limit that no recent answer has confirmed; below 1,
   * as only another answer shows whether the limit has ended.
   */
  private static final double STALE_RATE_LIMIT_FACTOR = 0.5;

  /** The cost factor of an upstream in another data centre. */
  private static final double REMOTE_FACTOR = 1.15;

  /**
   * The random spread of costs, so that nodes do not all choose the same among upstreams of equal
   * cost.
   */
  private static final double COST_SPREAD = 0.1;

  /**
   * The random spread of costs while all nodes receive the same totals at the same time: the
   * upstream with the lowest cost is then the same for all of them until they receive the next
   * totals.
   */
  private static final double COST_SPREAD_WITH_TOTALS = 1;

  /** The change that is reported for an upstream that restarted. */
  private static final String RESTARTED = "restarted";

  /** The time without a message after which the reports of another node no longer count. */
  static final long INACTIVITY_NANOS = 1_500_000_000L;

  /** The assumed time of one unit of work while nothing was measured. */
  private static final double INITIAL_UNIT_NANOS = 50e6;

  private static final double TYPICAL_LEARNING_RATE = 0.1;

  /**
   * The factor by which the fastest unit time grows with each answer, so that old values are
   * forgotten.
   */
  private static final double FASTEST_GROWTH = 1.005;

  private final Map<UpstreamName, UpstreamState> byName = new LinkedHashMap<>();
  private final Map<ServiceName, Map<UpstreamName, UpstreamState>> byService = new HashMap<>();

  /** The upstreams that are leaving or missing. */
  private final Set<UpstreamState> leavingOrMissing = new LinkedHashSet<>();

  /** The upstreams at which this node has load. */
  private final Set<UpstreamState> loaded = new LinkedHashSet<>();

  /** The upstreams at which this node recently observed lost prefill handles. */
  private final Set<UpstreamState> losingHandles = new LinkedHashSet<>();

  private ImmutableMap<UpstreamIncarnation, Long> loads = ImmutableMap.of();
  private boolean loadsChanged;
  private final Map<ServiceStage, Double> typicalUnitNanos = new HashMap<>();
  private final Map<ServiceStage, Double> fastestUnitNanos = new HashMap<>();
  private final UpstreamRateLimits rateLimits;
  private final long missingNanos;
  private final SplittableRandom random;
  private final Map<HostName, PeerLoad> peerLoads = new HashMap<>();
  private boolean listReceived;
  private double costSpread = COST_SPREAD;

  /** The last load report of another node. */
  private record PeerLoad(long at, ImmutableMap<UpstreamIncarnation, Long> loads) {}

  private record ServiceStage(ServiceName service, Stage stage) {}

  UpstreamTable(
      long missingNanos,
      SplittableRandom random,
      HeldQuotas heldQuotas,
      Consumer<RelayFact> report) {
    this.rateLimits = new UpstreamRateLimits(heldQuotas, this::find, report);
    this.missingNanos = missingNanos;
    this.random = random;
  }

  /** Returns whether a discovery list was ever received. */
  boolean isListReceived() {
    return listReceived;
  }

  /** Sets whether one node reports the total load to all nodes. */
  void setTotalsReceived(boolean received) {
    costSpread = received ? COST_SPREAD_WITH_TOTALS : COST_SPREAD;
  }

  /**
   * Applies changes of the discovery list.
   *
   * <p>An upstream whose incarnation differs has restarted, whether the new number is greater or
   * smaller: its clock may have been set back, and the list is in the order of the store.
   *
   * @return the states of the known incarnations that ended because their upstreams restarted
   */
  ImmutableList<UpstreamState> update(
      long at,
      ImmutableMap<UpstreamName, RelayUpstream> changed,
      ImmutableSet<UpstreamName> removed,
      Consumer<RelayFact> report) {
    listReceived = true;
    ImmutableList.Builder<UpstreamState> ended = ImmutableList.builder();
    for (RelayUpstream u : changed.values()) {
      UpstreamState state = byName.get(u.name());
      if (state == null) {
        add(u);
        report.accept(upstreamChanged(u, u.leaving() ? "appeared_leaving" : "appeared"));
      } else if (!state.isIncarnation(u.incarnation().incarnation())) {
        removeEnded(state);
        add(u);
        ended.add(state);
        report.accept(upstreamChanged(u, RESTARTED));
      } else {
        if (u.leaving() && !state.upstream().leaving()) {
          report.accept(upstreamChanged(u, "leaving"));
        } else if (state.isMissing()) {
          report.accept(upstreamChanged(u, "returned"));
        }
        updateListed(state, u);
      }
    }
    for (UpstreamName name : removed) {
      UpstreamState state = byName.get(name);
      if (state != null && !state.isMissing()) {
        state.markMissing(at);
        leavingOrMissing.add(state);
        report.accept(upstreamChanged(state.upstream(), "missing"));
      }
    }
    return ended.build();
  }

  /**
   * Returns the upstreams among {@code names} that are missing without having announced that they
   * leave.
   */
  List<UpstreamState> missingWithoutNotice(Set<UpstreamName> names) {
    return names.stream()
        .map(byName::get)
        .filter(s -> s != null && s.isMissing() && !s.isLeaving())
        .toList();
  }

  private void updateListed(UpstreamState state, RelayUpstream now) {
    if (!now.service().equals(state.upstream().service())) {
      byService.get(state.upstream().service()).remove(now.name());
      getOrCreateService(now.service()).put(now.name(), state);
    }
    state.update(now);
    if (state.isLeavingOrMissing()) {
      leavingOrMissing.add(state);
    } else {
      leavingOrMissing.remove(state);
    }
  }

  private Map<UpstreamName, UpstreamState> getOrCreateService(ServiceName service) {
    return byService.computeIfAbsent(service, s -> new LinkedHashMap<>());
  }

  /**
   * Removes an ended incarnation from the sets of states. The maps by name keep it until a later
   * incarnation replaces it or the upstream is removed.
   */
  private void removeEnded(UpstreamState state) {
    leavingOrMissing.remove(state);
    loadsChanged |= loaded.remove(state);
    losingHandles.remove(state);
  }

  /** Adds an incarnation, which reports of other nodes may already name. */
  private void add(RelayUpstream u) {
    UpstreamState state = new UpstreamState(u, this);
    peerLoads.values().forEach(h -> state.addRemote(h.loads().getOrDefault(u.incarnation(), 0L)));
    byName.put(u.name(), state);
    getOrCreateService(u.service()).put(u.name(), state);
    if (state.isLeavingOrMissing()) {
      leavingOrMissing.add(state);
    }
  }

  /**
   * Returns the upstreams with attempts in flight that are leaving or missing and whose evacuation
   * has not begun; marks it as begun.
   */
  List<UpstreamState> beginEvacuations() {
    return leavingOrMissing.stream()
        .filter(s -> s.inFlight() > 0)
        .filter(UpstreamState::beginEvacuation)
        .toList();
  }

  /**
   * Removes upstreams that have been missing for {@code missingNanos} and have no attempt in
   * flight.
   */
  void removeMissing(long at, Consumer<RelayFact> report) {
    for (UpstreamState state : ImmutableList.copyOf(leavingOrMissing)) {
      if (state.isMissingFor(at, missingNanos) && state.inFlight() == 0) {
        removeEnded(state);
        byName.remove(state.upstream().name());
        byService.get(state.upstream().service()).remove(state.upstream().name());
        report.accept(upstreamChanged(state.upstream(), "gone"));
      }
    }
  }

  private static RelayFact upstreamChanged(RelayUpstream u, String change) {
    return new RelayFact.UpstreamChanged(u.incarnation(), u.service().value(), u.address(), change);
  }

  /** Returns the number of other nodes whose load is known. */
  int reportingNodes() {
    return peerLoads.size();
  }

  /**
   * Returns the maximum free capacity, in tokens, of one upstream that may run calls of a service.
   */
  long maxFree(ServiceName service, CallDemand demand) {
    return upstreamsOf(service).stream()
        .filter(s -> s.upstream().stage().runsCalls())
        .filter(s -> !s.isLeaving() && !s.isMissing())
        .mapToLong(s -> Math.round(demand.maxFill() * demand.memoryTokens()) - s.totalLoad())
        .max()
        .orElse(0);
  }

  private Collection<UpstreamState> upstreamsOf(ServiceName service) {
    return byService.getOrDefault(service, Map.of()).values();
  }

  /** Returns the number of known upstreams. */
  int size() {
    return byName.size();
  }

  /** Returns the state of an incarnation; empty if the incarnation is not the current one. */
  Optional<UpstreamState> find(UpstreamIncarnation incarnation) {
    return Optional.ofNullable(current(incarnation));
  }

  /** Returns the state of an incarnation; null if the incarnation is not the current one. */
  private UpstreamState current(UpstreamIncarnation incarnation) {
    UpstreamState state = byName.get(incarnation.name());
    return state != null && state.isIncarnation(incarnation.incarnation()) ? state : null;
  }

  /** Returns whether an upstream is known to have restarted since the given incarnation. */
  boolean hasRestarted(UpstreamIncarnation incarnation) {
    UpstreamState now = byName.get(incarnation.name());
    return now != null && !now.incarnation().equals(incarnation);
  }

  /** Replaces the load report of another node. */
  void receiveLoads(long at, HostName node, ImmutableMap<UpstreamIncarnation, Long> loads) {
    addRemoteLoads(peerLoads.put(node, new PeerLoad(at, loads)), -1);
    addRemoteLoads(peerLoads.get(node), 1);
  }

  /** Drops the load reports of nodes that have been unresponsive for {@link #INACTIVITY_NANOS}. */
  void dropUnresponsive(long at) {
    for (Iterator<PeerLoad> i = peerLoads.values().iterator(); i.hasNext(); ) {
      PeerLoad h = i.next();
      if (at - h.at() > INACTIVITY_NANOS) {
        i.remove();
        addRemoteLoads(h, -1);
      }
    }
  }

  private void addRemoteLoads(PeerLoad report, int sign) {
    if (report == null) {
      return;
    }
    report
        .loads()
        .forEach(
            (incarnation, units) -> {
              UpstreamState state = current(incarnation);
              if (state != null) {
                state.addRemote(sign * units);
              }
            });
  }

  /**
   * Returns the load that this node has at each upstream, without upstreams at which it has none.
   */
  ImmutableMap<UpstreamIncarnation, Long> loads() {
    if (!loadsChanged) {
      return loads;
    }
    ImmutableMap.Builder<UpstreamIncarnation, Long> now = ImmutableMap.builder();
    loaded.forEach(s -> now.put(s.incarnation(), s.load()));
    loads = now.buildOrThrow();
    loadsChanged = false;
    return loads;
  }

  @Override
  public void loadChanged(UpstreamState s) {
    if (current(s.incarnation()) != s) {
      return;
    }
    loadsChanged = true;
    if (s.load() > 0) {
      loaded.add(s);
    } else {
      loaded.remove(s);
    }
  }

  @Override
  public boolean hasPermit(long at, UpstreamState s) {
    return rateLimits.hasPermit(at, s);
  }

  @Override
  public void requestSent(UpstreamState s) {
    rateLimits.spend(s);
  }

  /** Returns the rate limits that upstreams announce. */
  UpstreamRateLimits rateLimits() {
    return rateLimits;
  }

  /** Records that this node observed the immediate loss of a prefill handle of an upstream. */
  void handleLost(UpstreamState state, long at) {
    state.handleLost(at);
    losingHandles.add(state);
  }

  /** Returns the upstreams at which this node itself recently observed lost prefill handles. */
  ImmutableSet<UpstreamIncarnation> losingHandles(long at) {
    if (losingHandles.isEmpty()) {
      return ImmutableSet.of();
    }
    losingHandles.removeIf(s -> !s.hasObservedHandleLoss(at));
    return losingHandles.stream()
        .map(UpstreamState::incarnation)
        .collect(ImmutableSet.toImmutableSet());
  }

  /** Records the measured time of one unit of work. */
  void recordUnitTime(UpstreamState state, long at, double nanosPerUnit) {
    state.recordUnitTime(at, nanosPerUnit);
    ServiceStage stage = serviceStage(state);
    double typical = typicalUnitNanos.getOrDefault(stage, nanosPerUnit);
    typicalUnitNanos.put(stage, typical + TYPICAL_LEARNING_RATE * (nanosPerUnit - typical));
    double fastest = fastestUnitNanos.getOrDefault(stage, nanosPerUnit);
    fastestUnitNanos.put(stage, Math.min(FASTEST_GROWTH * fastest, nanosPerUnit));
  }

  /**
   * Returns the time that a healthy upstream takes to prefill a prompt after its present load, in
   * nanoseconds; 0 while nothing was measured.
   */
  double prefillNanos(UpstreamState state, long prompt) {
    return fastestUnitNanos.getOrDefault(serviceStage(state), 0.0)
        * (state.totalLoad() + prompt)
        / 1_000;
  }

  /** Returns the estimated time of one unit of work at an upstream, in nanoseconds. */
  double unitNanos(UpstreamState state, long at) {
    return state.estimateUnitNanos(
        at, typicalUnitNanos.getOrDefault(serviceStage(state), INITIAL_UNIT_NANOS));
  }

  private static ServiceStage serviceStage(UpstreamState state) {
    return new ServiceStage(state.upstream().service(), state.upstream().stage());
  }

  /**
   * Returns the upstream of a service with the lowest cost.
   *
   * <p>Healthy upstreams come first, then ejected ones, then missing ones. No memory is sought at
   * the last two while there is a healthy upstream, even a full one: memory reserved at an upstream
   * that does not answer is of no use.
   *
   * @param at now
   * @param service the service
   * @param stage accepts the eligible stages
   * @param excluded the excluded upstreams
   * @param near the data centre that counts as local
   * @param demand the demand on the upstream
   */
  Optional<Choice> choose(
      long at,
      ServiceName service,
      Predicate<Stage> stage,
      Set<UpstreamIncarnation> excluded,
      DataCentreName near,
      CallDemand demand) {
    List<UpstreamState> eligible = new ArrayList<>();
    boolean healthyExists = false;
    for (UpstreamState s : upstreamsOf(service)) {
      RelayUpstream u = s.upstream();
      if (stage.test(u.stage())
          && s.acceptsWork(at)
          && !excluded.contains(u.incarnation())
          && !s.isMissingFor(at, missingNanos)) {
        healthyExists |= isHealthy(s, at);
        if (s.inFlight() < demand.maxInFlight() && demand.fits(s, at)) {
          eligible.add(s);
        }
      }
    }
    Optional<Choice> healthy = best(at, eligible, s -> isHealthy(s, at), near, demand);
    if (healthy.isPresent() || (demand.memoryTokens() > 0 && healthyExists)) {
      return healthy;
    }
    return best(at, eligible, s -> !s.isMissing(), near, demand)
        .or(() -> best(at, eligible, s -> true, near, demand));
  }

  /** Returns whether there is an upstream that may run calls of a service, even if it is full. */
  boolean hasUpstream(long at, ServiceName service, Set<UpstreamIncarnation> excluded) {
    return upstreamsOf(service).stream()
        .anyMatch(
            s ->
                s.upstream().stage().runsCalls()
                    && !s.isLeaving()
                    && !excluded.contains(s.incarnation())
                    && !s.isMissingFor(at, missingNanos));
  }

  /**
   * Returns the upstreams that may run calls of a service but that this node would not choose now.
   * If it would choose none, returns only those that accept no work by their own notice.
   */
  ImmutableSet<UpstreamIncarnation> notEligible(long at, ServiceName service) {
    ImmutableSet.Builder<UpstreamIncarnation> notAccepting = ImmutableSet.builder();
    ImmutableSet.Builder<UpstreamIncarnation> notEligible = ImmutableSet.builder();
    boolean someEligible = false;
    for (UpstreamState s : upstreamsOf(service)) {
      if (!s.upstream().stage().runsCalls()) {
        continue;
      }
      if (!s.acceptsWork(at)) {
        notAccepting.add(s.incarnation());
      } else if (isHealthy(s, at) && !s.isFull(at)) {
        someEligible = true;
      } else {
        notEligible.add(s.incarnation());
      }
    }
    return (someEligible ? notAccepting.addAll(notEligible.build()) : notAccepting).build();
  }

  /**
   * Returns the earliest time at which an upstream that may run calls of a service accepts requests
   * again, by its notices: after its backoff, or once this node has a permit. Empty if an upstream
   * accepts work now, or if none is left.
   */
  OptionalLong acceptsWorkAt(long at, ServiceName service, Set<UpstreamIncarnation> excluded) {
    List<UpstreamState> left =
        upstreamsOf(service).stream()
            .filter(s -> s.upstream().stage().runsCalls() && !s.isLeaving() && !s.isMissing())
            .filter(s -> !excluded.contains(s.incarnation()))
            .toList();
    return left.stream().noneMatch(s -> s.acceptsWork(at))
        ? left.stream().mapToLong(s -> acceptsWorkAt(at, s)).min()
        : OptionalLong.empty();
  }

  private long acceptsWorkAt(long at, UpstreamState s) {
    return s.isInBackoff(at) ? s.backoffUntil() : rateLimits.permitAt(at, s).orElse(at);
  }

  /**
   * Records that an answer of an upstream announced that it leaves; returns whether that is new.
   */
  boolean markLeaving(UpstreamState state, Consumer<RelayFact> report) {
    boolean isNew = state.markLeaving();
    if (isNew) {
      leavingOrMissing.add(state);
      report.accept(upstreamChanged(state.upstream(), "says_leaving"));
    }
    return isNew;
  }

  /**
   * Returns the healthy upstream that a prompt ranks first among those that run calls; empty if
   * that is {@code own}, or if there is none.
   */
  Optional<RelayUpstream> firstRanked(
      long at, ServiceName service, PromptKey prompt, UpstreamState own) {
    return upstreamsOf(service).stream()
        .filter(s -> s.upstream().stage().runsCalls())
        .filter(s -> isHealthy(s, at))
        .min(Comparator.comparingDouble(s -> prompt.rank(s.upstream().name())))
        .filter(s -> s != own)
        .map(UpstreamState::upstream);
  }

  static boolean isHealthy(UpstreamState s, long at) {
    return !s.isMissing() && !s.isEjected(at);
  }

  private Optional<Choice> best(
      long at,
      List<UpstreamState> eligible,
      Predicate<UpstreamState> condition,
      DataCentreName near,
      CallDemand demand) {
    UpstreamState best = null;
    UpstreamState second = null;
    double cost = Double.MAX_VALUE;
    double secondCost = Double.MAX_VALUE;
    int candidates = 0;
    for (UpstreamState s : eligible) {
      if (!condition.test(s)) {
        continue;
      }
      candidates++;
      double c = cost(s, at, near, demand);
      if (c < cost) {
        second = best;
        secondCost = cost;
        best = s;
        cost = c;
      } else if (c < secondCost) {
        second = s;
        secondCost = c;
      }
    }
    if (best == null) {
      return Optional.empty();
    }
    String runnerUp = second == null ? "" : second.upstream().name().value();
    return Optional.of(
        new Choice(best, cost, runnerUp, second == null ? 0 : secondCost, candidates));
  }

  /**
   * Returns the cost factor of a rate limit, which leaves permits to calls that have no other
   * upstream.
   */
  private static double rateLimitFactor(UpstreamState s, long at) {
    if (s.rateLimit().limit().isEmpty()) {
      return 1;
    }
    return s.rateLimit().isStale(at) ? STALE_RATE_LIMIT_FACTOR : RATE_LIMITED_FACTOR;
  }

  private double cost(UpstreamState s, long at, DataCentreName near, CallDemand demand) {
    double far = s.upstream().dataCentre().equals(near) ? 1 : REMOTE_FACTOR;
    double jitter =
        1 + (demand.memoryTokens() > 0 ? COST_SPREAD : costSpread) * random.nextDouble();
    return unitNanos(s, at)
        * demand.loadFactor(s)
        * s.failureFactor(at)
        * far
        * rateLimitFactor(s, at)
        * jitter;
  }
}
