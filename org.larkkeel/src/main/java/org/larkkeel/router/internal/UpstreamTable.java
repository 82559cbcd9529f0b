/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.Pool;
import org.larkkeel.config.Role;
import org.larkkeel.config.Upstream;
import org.larkkeel.effect.Fact;
import org.larkkeel.lib.Labels;
import org.larkkeel.lib.ModelName;
import org.larkkeel.lib.PoolName;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.router.QueuePolicy;
import org.larkkeel.router.ReservationPolicy;

/**
 * The known upstreams and the candidate sets over them.
 *
 * <p>Invariant: each candidate set contains exactly the upstreams that its pools select and that
 * serve its model. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class UpstreamTable {
  private static final String GENERATION_LABEL = "gen";

  /**
   * The key of a candidate set.
   *
   * @param role the role of the upstreams
   * @param pools the pools that select the upstreams
   * @param model the model that the upstreams serve; empty for any
   */
  private record SetKey(Role role, ImmutableSet<PoolName> pools, Optional<ModelName> model) {}

  private final Context context;
  private final Ejections ejections;
  private final PrefixIndex prefixes = new PrefixIndex();
  private final PoolIndex pools = new PoolIndex();
  private final Map<UpstreamName, UpstreamState> states = new TreeMap<>();
  private final Map<SetKey, CandidateSet> candidateSets = new HashMap<>();
  private final Map<String, SpeedEstimates> speedsByKind = new HashMap<>();
  private final SpeedEstimates overallSpeeds = new SpeedEstimates(null);
  private final Set<Route> readyRoutes = new LinkedHashSet<>();
  private ImmutableSet<ModelName> declaredModels = ImmutableSet.of();
  private Configuration current = Configuration.EMPTY;
  private int nodeCount = 1;

  /**
   * Creates an empty table.
   *
   * @param context the shared state of the router
   */
  public UpstreamTable(Context context) {
    this.context = context;
    this.ejections = new Ejections(context, this);
  }

  /**
   * Applies a configuration; the state of upstreams that remain is kept.
   *
   * @param next the configuration
   */
  public void apply(Configuration next) {
    for (Upstream upstream : next.upstreams().values()) {
      UpstreamState state = states.get(upstream.name());
      if (state == null) {
        states.put(upstream.name(), create(upstream));
      } else if (!state.isConfigured() || !upstream.equals(state.config())) {
        state.configure(upstream);
      }
    }
    for (UpstreamState state : Set.copyOf(states.values())) {
      if (!next.upstreams().containsKey(state.name)) {
        state.markRemoved();
        removeIfIdle(state);
      }
    }
    Set<PoolName> changedPools = pools.apply(next);
    current = next;
    declaredModels =
        next.upstreams().values().stream()
            .flatMap(u -> u.models().stream())
            .collect(ImmutableSet.toImmutableSet());
    refillSets(changedPools);
    states.values().forEach(this::capacityFreed);
    changedPools.forEach(this::reportIfEmpty);
  }

  /**
   * Removes the candidate sets that no route uses.
   *
   * <p>Must be called after the routes have applied a new configuration.
   */
  public void removeUnusedSets() {
    candidateSets.values().removeIf(this::clearIfUnused);
  }

  /**
   * Returns the candidate set of a role; creates it if needed.
   *
   * @param role the role of the upstreams
   * @param rulePools the pools of the rule, of any role
   * @param model the model; empty for any
   * @return the set, not null
   */
  public CandidateSet candidates(Role role, Collection<Pool> rulePools, Optional<ModelName> model) {
    ImmutableSet<PoolName> names =
        rulePools.stream()
            .filter(p -> p.role() == role)
            .map(Pool::name)
            .collect(ImmutableSet.toImmutableSet());
    SetKey key = new SetKey(role, names, model);
    CandidateSet set = candidateSets.get(key);
    if (set == null) {
      set = new CandidateSet(role);
      candidateSets.put(key, set);
      fill(key, set);
    }
    return set;
  }

  /**
   * Returns an upstream.
   *
   * @param name the name of the upstream
   * @return its state; null if unknown
   */
  public UpstreamState get(UpstreamName name) {
    return states.get(name);
  }

  /**
   * Returns all upstreams.
   *
   * @return the states, ordered by name
   */
  public Collection<UpstreamState> all() {
    return states.values();
  }

  /**
   * Returns whether any upstream is declared for a model.
   *
   * @param model the model
   * @return true if the configuration in force has such an upstream
   */
  public boolean isDeclared(ModelName model) {
    return declaredModels.contains(model);
  }

  /**
   * Returns the ejections of upstreams.
   *
   * @return the ejections
   */
  public Ejections ejections() {
    return ejections;
  }

  /**
   * Returns the index of prompt prefixes.
   *
   * @return the index
   */
  public PrefixIndex prefixes() {
    return prefixes;
  }

  /**
   * Sets the number of live nodes.
   *
   * @param count a number above 0
   */
  public void setNodeCount(int count) {
    nodeCount = Math.max(1, count);
  }

  /**
   * Returns the number of live nodes.
   *
   * @return a number above 0
   */
  public int nodeCount() {
    return nodeCount;
  }

  /**
   * Updates the candidate sets after a change of the models that an upstream reports.
   *
   * @param state the upstream
   */
  public void modelsChanged(UpstreamState state) {
    Set<PoolName> changedPools = new LinkedHashSet<>();
    for (PoolName pool : current.pools().keySet()) {
      if (pools.members(pool).contains(state.name)) {
        changedPools.add(pool);
      }
    }
    refillSets(changedPools);
    capacityFreed(state);
  }

  /**
   * Returns the number of free slots that this node may use at an upstream.
   *
   * @param state the upstream
   * @return the number; negative if this node holds more slots than it may use
   */
  public int freeSlots(UpstreamState state) {
    boolean shared = context.settings().sharedSlots();
    return state.slots.usable(context.now(), shared, nodeCount) - state.slots.active();
  }

  /**
   * Returns the number of free slots that this node may use and that are not reserved.
   *
   * @param state the upstream
   * @return the number; negative if overbooked
   */
  public int unreservedSlots(UpstreamState state) {
    return freeSlots(state) - state.slots.reserved();
  }

  /**
   * Updates the candidate sets after capacity of an upstream was taken.
   *
   * @param state the upstream
   */
  public void capacityTaken(UpstreamState state) {
    for (int i = 0; i < state.memberships.size(); i++) {
      updateMembership(state, state.memberships.get(i));
    }
  }

  /**
   * Updates the candidate sets after capacity of an upstream may have been freed, and marks the
   * routes that it can serve as ready.
   *
   * @param state the upstream
   */
  public void capacityFreed(UpstreamState state) {
    for (int i = 0; i < state.memberships.size(); i++) {
      Membership member = state.memberships.get(i);
      if (updateMembership(state, member)) {
        readyRoutes.addAll(member.set.routes());
      }
    }
  }

  private boolean updateMembership(UpstreamState state, Membership member) {
    boolean available = hasCapacity(state, member.set.role());
    member.set.setAvailable(member, available);
    if (member.set.role() == Role.DECODE) {
      boolean accepts = acceptsRequests(state);
      double releaseRate = accepts ? state.releaseRate(context.now()) : 0;
      int usable = accepts ? freeSlots(state) + state.slots.active() : 0;
      member.set.updateTotals(
          member,
          accepts ? unreservedSlots(state) : 0,
          usable,
          state.slots.heldByOthers(),
          releaseRate);
    }
    return available;
  }

  /**
   * Marks a route as ready to be served.
   *
   * @param route the route
   */
  public void markReady(Route route) {
    readyRoutes.add(route);
  }

  /**
   * Returns the ready routes, whose requests may have become placeable.
   *
   * @return the set itself, which the dispatcher clears
   */
  public Set<Route> readyRoutes() {
    return readyRoutes;
  }

  /**
   * Records that an attempt is at its upstream.
   *
   * @param attempt the attempt
   */
  public void attach(Attempt attempt) {
    UpstreamState state = attempt.upstream;
    state.attempts.put(attempt.id, attempt);
    switch (attempt.kind) {
      case PREFILL -> {
        attempt.prefilling = true;
        state.prefills.started(context.now(), attempt.prefillTokens);
      }
      case DECODE, PLAIN -> takeSlot(attempt);
      default -> throw new IllegalStateException("a claim attempt has no upstream");
    }
    capacityTaken(state);
  }

  /**
   * Records the end of the computation of a prefill; its KV cache may still be held.
   *
   * @param attempt the attempt
   * @return the earliest time at which the engine can have started to compute this prefill
   */
  public long prefillEnded(Attempt attempt) {
    if (!attempt.prefilling) {
      return attempt.startedAt;
    }
    attempt.prefilling = false;
    long freeSince = attempt.upstream.prefills.ended(context.now(), attempt.prefillTokens);
    capacityFreed(attempt.upstream);
    return Math.max(freeSince, attempt.startedAt);
  }

  /**
   * Records that an attempt has left its upstream, or no longer uses capacity there.
   *
   * @param attempt the attempt
   */
  public void detach(Attempt attempt) {
    UpstreamState state = attempt.upstream;
    if (state.attempts.remove(attempt.id) == null) {
      return;
    }
    prefillEnded(attempt);
    releaseSlot(attempt);
    removeIfIdle(state);
    capacityFreed(state);
  }

  private boolean hasCapacity(UpstreamState state, Role role) {
    if (!acceptsRequests(state)) {
      return false;
    }
    if (context.settings().queue() instanceof QueuePolicy.Immediate) {
      return true;
    }
    return switch (role) {
      case PREFILL -> state.prefills.running() < context.settings().prefillDepth();
      case SERVICE -> freeSlots(state) > 0;
      case DECODE -> unreservedSlots(state) + overbookableSlots(state) > 0;
    };
  }

  private boolean acceptsRequests(UpstreamState state) {
    return context.settings().ejection() ? state.acceptsRequests() : state.isConfigured();
  }

  private int overbookableSlots(UpstreamState state) {
    return switch (context.settings().reservation()) {
      case ReservationPolicy.None none -> state.slots.limit();
      case ReservationPolicy.Strict strict -> 0;
      case ReservationPolicy.PredictedRelease release ->
          (int) (release.overbooking() * state.slots.limit());
    };
  }

  private void takeSlot(Attempt attempt) {
    attempt.holdsSlot = true;
    attempt.upstream.slots.take(context.now());
  }

  private void releaseSlot(Attempt attempt) {
    if (attempt.holdsSlot) {
      attempt.holdsSlot = false;
      attempt.upstream.slots.release(context.now());
    }
  }

  private UpstreamState create(Upstream upstream) {
    SpeedEstimates similar =
        speedsByKind.computeIfAbsent(
            speedsKey(upstream.labels()), k -> new SpeedEstimates(overallSpeeds));
    Health health = new Health(context.settings().ejectAfter(), context.settings().ejectNanos());
    UpstreamState[] self = new UpstreamState[1];
    self[0] =
        new UpstreamState(
            upstream, similar, prefixes, health, () -> ejections.startProbing(self[0]));
    return self[0];
  }

  private static String speedsKey(Labels labels) {
    return labels.get(GENERATION_LABEL).orElse("") + "/" + labels.get("role").orElse("");
  }

  private void removeIfIdle(UpstreamState state) {
    if (!state.isConfigured() && state.attempts.isEmpty()) {
      states.remove(state.name);
      state.cache.clear();
      context.timers().clear(state.probeTimer);
    }
  }

  private void refillSets(Set<PoolName> changedPools) {
    candidateSets.forEach(
        (key, set) -> {
          if (key.pools().stream().anyMatch(changedPools::contains)) {
            fill(key, set);
          }
        });
  }

  private void fill(SetKey key, CandidateSet set) {
    Set<UpstreamState> members = new LinkedHashSet<>();
    for (PoolName pool : key.pools()) {
      for (UpstreamName name : pools.members(pool)) {
        UpstreamState state = states.get(name);
        if (key.model().map(state::serves).orElse(true)) {
          members.add(state);
        }
      }
    }
    set.setMembers(members);
    members.forEach(this::capacityFreed);
  }

  private boolean clearIfUnused(CandidateSet set) {
    if (!set.routes().isEmpty()) {
      return false;
    }
    set.setMembers(Set.of());
    return true;
  }

  private void reportIfEmpty(PoolName pool) {
    if (current.pools().containsKey(pool) && pools.members(pool).isEmpty()) {
      context.report(new Fact.PoolEmpty(pool));
    }
  }
}
