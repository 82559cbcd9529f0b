/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Function;
import org.larkkeel.balance.SlowStart;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.ServiceName;

/**
 * The upstreams that a node knows from the discovery list, and their life from the first listing
 * until they have been missing for {@code missingNanos}.
 *
 * <p>Invariant: there is one state for each name, that of its last known incarnation. Not
 * thread-safe.
 */
final class UpstreamTable implements UpstreamState.Environment {
  /** The change that is reported for an upstream that restarted. */
  private static final String RESTARTED = "restarted";

  private final Map<UpstreamName, UpstreamState> byName = new LinkedHashMap<>();
  private final Map<ServiceName, Map<UpstreamName, UpstreamState>> byService = new HashMap<>();

  /** The upstreams that are leaving or missing. */
  private final Set<UpstreamState> leavingOrMissing = new LinkedHashSet<>();

  /** The upstreams at which this node recently observed lost prefill handles. */
  private final Set<UpstreamState> losingHandles = new LinkedHashSet<>();

  private final UpstreamLoads loads = new UpstreamLoads(this::find);
  private final UnitTimes unitTimes = new UnitTimes();
  private final EngineSpeeds speeds;
  private final UpstreamRateLimits rateLimits;
  private final UpstreamAvailability availability;
  private final UpstreamChooser chooser;
  private final long missingNanos;
  private boolean listReceived;

  UpstreamTable(
      long missingNanos,
      SplittableRandom random,
      HeldQuotas heldQuotas,
      Function<UpstreamTable, EngineSpeeds> speedsFactory,
      Consumer<RelayFact> report) {
    this.speeds = speedsFactory.apply(this);
    this.rateLimits = new UpstreamRateLimits(heldQuotas, this::find, report);
    this.availability = new UpstreamAvailability(this, missingNanos);
    this.chooser = new UpstreamChooser(this, unitTimes, speeds, missingNanos, random);
    this.missingNanos = missingNanos;
  }

  /** Returns whether a discovery list was ever received. */
  boolean isListReceived() {
    return listReceived;
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
    // What the first list names was there before this node.
    long discoveredAt = listReceived ? at : SlowStart.ESTABLISHED;
    listReceived = true;
    ImmutableList.Builder<UpstreamState> ended = ImmutableList.builder();
    for (RelayUpstream u : changed.values()) {
      UpstreamState state = byName.get(u.name());
      if (state == null) {
        add(at, u, discoveredAt);
        report.accept(upstreamChanged(u, u.leaving() ? "appeared_leaving" : "appeared"));
      } else if (!state.isIncarnation(u.incarnation().incarnation())) {
        removeEnded(state);
        add(at, u, discoveredAt);
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

  /** Books the backoffs that new incarnations asked for before they were listed on these. */
  void takeOverBackoffs(long at, RelayEvent.UpstreamsChanged change, List<UpstreamState> ended) {
    for (UpstreamState previous : ended) {
      UpstreamState next = byName.get(previous.upstream().name());
      next.takeOverBackoff(at, previous, change.startedAt(next.incarnation()));
    }
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
    loads.ended(state);
    losingHandles.remove(state);
  }

  /** Adds an incarnation, which reports of other nodes may already name. */
  private void add(long at, RelayUpstream u, long discoveredAt) {
    UpstreamState state = new UpstreamState(u, this, speeds.create(discoveredAt));
    loads.added(state);
    byName.put(u.name(), state);
    getOrCreateService(u.service()).put(u.name(), state);
    if (state.isLeavingOrMissing()) {
      leavingOrMissing.add(state);
    }
    if (state.speed().isNew()) {
      speeds.discovered(at, state);
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

  /** Returns the upstreams of a service, in a fixed order. */
  Collection<UpstreamState> ofService(ServiceName service) {
    return byService.getOrDefault(service, Map.of()).values();
  }

  /** Returns all known upstreams. */
  Collection<UpstreamState> all() {
    return byName.values();
  }

  /** Returns the number of known upstreams. */
  int size() {
    return byName.size();
  }

  /** Returns the state of an incarnation; empty if the incarnation is not the current one. */
  Optional<UpstreamState> find(UpstreamIncarnation incarnation) {
    return Optional.ofNullable(current(incarnation));
  }

  /** Returns the state of the last known incarnation of an upstream. */
  Optional<UpstreamState> find(UpstreamName name) {
    return Optional.ofNullable(byName.get(name));
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

  @Override
  public void loadChanged(UpstreamState s) {
    loads.changed(s);
  }

  @Override
  public boolean hasPermit(long at, UpstreamState s) {
    return rateLimits.hasPermit(at, s);
  }

  @Override
  public void requestSent(UpstreamState s) {
    rateLimits.spend(s);
  }

  /** Returns the loads at upstreams. */
  UpstreamLoads loads() {
    return loads;
  }

  /** Returns the measured times of one unit of work. */
  UnitTimes unitTimes() {
    return unitTimes;
  }

  /** Returns the measured speeds of engines. */
  EngineSpeeds speeds() {
    return speeds;
  }

  /** Returns what the upstreams accept now. */
  UpstreamAvailability availability() {
    return availability;
  }

  /** Returns the choice of an upstream by its cost. */
  UpstreamChooser chooser() {
    return chooser;
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
}
