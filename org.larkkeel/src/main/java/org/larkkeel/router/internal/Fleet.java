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
 * All upstreams, and the candidate sets over them.
 *
 * <p>Invariant: each candidate set has exactly the upstreams that its pools select and that serve
 * its model. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Fleet {
  private static final String GENERATION_LABEL = "gen";

  /**
   * What identifies a candidate set.
   *
   * @param role what the upstreams do
   * @param pools the pools that they are in
   * @param model the model that they serve; empty for any
   */
  private record SetKey(Role role, ImmutableSet<PoolName> pools, Optional<ModelName> model) {}

  private final Context context;
  private final Ejections ejections;
  private final PrefixIndex prefixes = new PrefixIndex();
  private final PoolIndex pools = new PoolIndex();
  private final Map<UpstreamName, UpstreamState> states = new TreeMap<>();
  private final Map<SetKey, CandidateSet> sets = new HashMap<>();
  private final Map<String, Rates> priors = new HashMap<>();
  private final Rates overall = new Rates(null);
  private final Set<Route> ready = new LinkedHashSet<>();
  private ImmutableSet<ModelName> models = ImmutableSet.of();
  private Configuration current = Configuration.EMPTY;
  private int nodes = 1;

  /**
   * Creates an empty fleet.
   *
   * @param context what the parts of the router share
   */
  public Fleet(Context context) {
    this.context = context;
    this.ejections = new Ejections(context, this);
  }

  /**
   * Takes a configuration; what is known of upstreams that stay is kept.
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
        state.removeConfig();
        forgetIfIdle(state);
      }
    }
    Set<PoolName> touched = pools.apply(next);
    current = next;
    models =
        next.upstreams().values().stream()
            .flatMap(u -> u.models().stream())
            .collect(ImmutableSet.toImmutableSet());
    rebuild(touched);
    states.values().forEach(this::gained);
    touched.forEach(this::reportIfEmpty);
  }

  /**
   * Drops the candidate sets that no route uses.
   *
   * <p>To be called after the routes have taken a new configuration.
   */
  public void prune() {
    sets.values().removeIf(this::dropIfUnused);
  }

  /**
   * Finds or makes the candidate set of a role.
   *
   * @param role what the upstreams do
   * @param among the pools of the rule, of any role
   * @param model the model; empty for any
   * @return the set
   */
  public CandidateSet candidates(Role role, Collection<Pool> among, Optional<ModelName> model) {
    ImmutableSet<PoolName> names =
        among.stream()
            .filter(p -> p.role() == role)
            .map(Pool::name)
            .collect(ImmutableSet.toImmutableSet());
    SetKey key = new SetKey(role, names, model);
    CandidateSet set = sets.get(key);
    if (set == null) {
      set = new CandidateSet(role);
      sets.put(key, set);
      fill(key, set);
    }
    return set;
  }

  /**
   * Finds an upstream.
   *
   * @param name its name
   * @return its state; null if unknown
   */
  public UpstreamState get(UpstreamName name) {
    return states.get(name);
  }

  /**
   * All upstreams.
   *
   * @return their states in order of name
   */
  public Collection<UpstreamState> all() {
    return states.values();
  }

  /**
   * Tells whether any upstream is declared for a model.
   *
   * @param model the model
   * @return true if so
   */
  public boolean knows(ModelName model) {
    return models.contains(model);
  }

  /**
   * Which upstreams get no requests because they failed.
   *
   * @return the ejections
   */
  public Ejections ejections() {
    return ejections;
  }

  /**
   * The index of prompt prefixes.
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
  public void setNodes(int count) {
    nodes = Math.max(1, count);
  }

  /**
   * The number of live nodes.
   *
   * @return a number above 0
   */
  public int nodes() {
    return nodes;
  }

  /**
   * The models that an upstream reported changed, so the candidate sets may have to.
   *
   * @param state the upstream
   */
  public void modelsChanged(UpstreamState state) {
    Set<PoolName> touched = new LinkedHashSet<>();
    for (PoolName pool : current.pools().keySet()) {
      if (pools.members(pool).contains(state.name)) {
        touched.add(pool);
      }
    }
    rebuild(touched);
    gained(state);
  }

  /**
   * Slots that this node may use at an upstream and that are free.
   *
   * @param state the upstream
   * @return a number; negative if more are held than may be used
   */
  public int free(UpstreamState state) {
    boolean shared = context.settings().sharedSlots();
    return state.slots.usable(context.now(), shared, nodes) - state.slots.active();
  }

  /**
   * Free slots that are not promised.
   *
   * @param state the upstream
   * @return a number; negative if overbooked
   */
  public int unpromised(UpstreamState state) {
    return free(state) - state.slots.reserved();
  }

  /**
   * Updates whether an upstream has room after something was taken.
   *
   * @param state the upstream
   */
  public void lost(UpstreamState state) {
    for (int i = 0; i < state.memberships.size(); i++) {
      update(state, state.memberships.get(i));
    }
  }

  /**
   * Updates whether an upstream has room after something may have been given back, and makes the
   * routes that it serves ready.
   *
   * @param state the upstream
   */
  public void gained(UpstreamState state) {
    for (int i = 0; i < state.memberships.size(); i++) {
      Membership member = state.memberships.get(i);
      if (update(state, member)) {
        ready.addAll(member.set.routes());
      }
    }
  }

  private boolean update(UpstreamState state, Membership member) {
    boolean room = hasRoom(state, member.set.role());
    member.set.setRoomy(member, room);
    if (member.set.role() == Role.DECODE) {
      boolean takes = takesRequests(state);
      double rate = takes ? state.releaseRate(context.now()) : 0;
      int usable = takes ? free(state) + state.slots.active() : 0;
      member.set.count(member, takes ? unpromised(state) : 0, usable, state.slots.others(), rate);
    }
    return room;
  }

  /**
   * Makes a route ready to be served.
   *
   * @param route the route
   */
  public void ready(Route route) {
    ready.add(route);
  }

  /**
   * The routes whose requests may have become placeable; cleared by who serves them.
   *
   * @return a set that may be changed
   */
  public Set<Route> ready() {
    return ready;
  }

  /**
   * Notes that an attempt is at its upstream.
   *
   * @param attempt the attempt
   */
  public void attach(Attempt attempt) {
    UpstreamState state = attempt.upstream;
    state.attempts.put(attempt.id, attempt);
    switch (attempt.kind) {
      case PREFILL -> {
        attempt.computing = true;
        state.prefills.started(context.now(), attempt.tokens);
      }
      case DECODE, PLAIN -> takeSlot(attempt);
      default -> throw new IllegalStateException("a claim has no upstream");
    }
    lost(state);
  }

  /**
   * Notes that a prefill computes no more; its KV cache may be held.
   *
   * @param attempt the attempt
   * @return since when the engine was free for it at the earliest
   */
  public long computed(Attempt attempt) {
    if (!attempt.computing) {
      return attempt.startedAt;
    }
    attempt.computing = false;
    long freeSince = attempt.upstream.prefills.ended(context.now(), attempt.tokens);
    gained(attempt.upstream);
    return Math.max(freeSince, attempt.startedAt);
  }

  /**
   * Notes that an attempt is no longer at its upstream, or no longer takes anything there.
   *
   * @param attempt the attempt
   */
  public void detach(Attempt attempt) {
    UpstreamState state = attempt.upstream;
    if (state.attempts.remove(attempt.id) == null) {
      return;
    }
    computed(attempt);
    releaseSlot(attempt);
    forgetIfIdle(state);
    gained(state);
  }

  private boolean hasRoom(UpstreamState state, Role role) {
    if (!takesRequests(state)) {
      return false;
    }
    if (context.settings().queue() instanceof QueuePolicy.Immediate) {
      return true;
    }
    return switch (role) {
      case PREFILL -> state.prefills.running() < context.settings().prefillDepth();
      case SERVICE -> free(state) > 0;
      case DECODE -> unpromised(state) + overbooking(state) > 0;
    };
  }

  private boolean takesRequests(UpstreamState state) {
    return context.settings().ejection() ? state.takesRequests() : state.isConfigured();
  }

  private int overbooking(UpstreamState state) {
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
    Rates prior = priors.computeIfAbsent(kindOf(upstream.labels()), k -> new Rates(overall));
    Health health = new Health(context.settings().ejectAfter(), context.settings().ejectNanos());
    UpstreamState[] self = new UpstreamState[1];
    self[0] = new UpstreamState(upstream, prior, prefixes, health, () -> ejections.probe(self[0]));
    return self[0];
  }

  private static String kindOf(Labels labels) {
    return labels.get(GENERATION_LABEL).orElse("") + "/" + labels.get("role").orElse("");
  }

  private void forgetIfIdle(UpstreamState state) {
    if (!state.isConfigured() && state.attempts.isEmpty()) {
      states.remove(state.name);
      state.cache.clear();
      context.timers().clear(state.probeTimer);
    }
  }

  private void rebuild(Set<PoolName> touched) {
    sets.forEach(
        (key, set) -> {
          if (key.pools().stream().anyMatch(touched::contains)) {
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
    members.forEach(this::gained);
  }

  private boolean dropIfUnused(CandidateSet set) {
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
