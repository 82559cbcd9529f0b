/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.larkkeel.call.Call;
import org.larkkeel.config.Pool;
import org.larkkeel.config.Role;
import org.larkkeel.config.Rule;
import org.larkkeel.lib.Revision;
import org.larkkeel.router.Explanation;
import org.larkkeel.router.Explanation.Candidate;
import org.larkkeel.router.Explanation.Verdict;
import org.larkkeel.router.RouterStatus;
import org.larkkeel.router.RouterStatus.UpstreamStatus;

/**
 * Creates views of the state of the router for operators; emits no effects.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class StatusView {
  private final Core core;

  /**
   * Creates a view.
   *
   * @param core the components of the router
   */
  public StatusView(Core core) {
    this.core = core;
  }

  /**
   * Returns the current status of the router.
   *
   * @param revision the revision of the configuration in force
   * @return an immutable snapshot
   */
  public RouterStatus status(Revision revision) {
    int queued = core.routes.all().stream().mapToInt(Route::queued).sum();
    return new RouterStatus(
        revision,
        core.arrivals.isDraining(),
        core.requests.size(),
        queued,
        core.attempts.size(),
        core.cancels.size(),
        core.context.timers().size(),
        core.upstreams.all().stream().map(this::describe).collect(ImmutableList.toImmutableList()));
  }

  /**
   * Explains where a request would be placed and why, without placing it.
   *
   * @param call the request
   * @return the explanation
   */
  public Explanation explain(Call call) {
    Optional<Rule> rule = core.routes.rule(call);
    if (rule.isEmpty()) {
      return new Explanation(Optional.empty(), ImmutableList.of(), ImmutableList.of(), 0, 0);
    }
    ImmutableList<Pool> pools = ImmutableList.copyOf(core.routes.pools(rule.get()));
    Optional<Route> route = core.routes.route(call, rule.get());
    ImmutableList.Builder<Candidate> candidates = ImmutableList.builder();
    for (Role role : Role.values()) {
      boolean isService = role == Role.SERVICE;
      if (isService == (call instanceof Call.Plain)) {
        addCandidates(call, role, pools, route, candidates);
      }
    }
    int queued = route.map(Route::queued).orElse(0);
    return new Explanation(
        rule.map(Rule::name),
        pools.stream().map(Pool::name).collect(ImmutableList.toImmutableList()),
        candidates.build(),
        route.map(r -> r.departures.predictedWaitNanos(queued)).orElse(0L),
        queued);
  }

  private void addCandidates(
      Call call,
      Role role,
      ImmutableList<Pool> pools,
      Optional<Route> route,
      ImmutableList.Builder<Candidate> builder) {
    for (UpstreamState state : core.upstreams.all()) {
      boolean selected =
          pools.stream()
              .filter(p -> p.role() == role)
              .anyMatch(p -> p.upstreams().matches(state.config().labels()));
      if (selected && state.isConfigured()) {
        builder.add(
            new Candidate(
                state.name,
                role,
                verdict(call, role, state, route),
                Math.max(0, core.upstreams.unreservedSlots(state)),
                state.attempts.size(),
                predicted(call, role, state, route)));
      }
    }
  }

  private Verdict verdict(Call call, Role role, UpstreamState state, Optional<Route> route) {
    if (call instanceof Call.Completion completion && !state.serves(completion.model())) {
      return Verdict.OTHER_MODEL;
    }
    if (!state.acceptsRequests()) {
      return Verdict.EJECTED;
    }
    return route.map(r -> candidatesOf(r, role).hasCapacity(state)).orElse(false)
        ? Verdict.FITS
        : Verdict.FULL;
  }

  private long predicted(Call call, Role role, UpstreamState state, Optional<Route> route) {
    if (route.isEmpty()) {
      return 0;
    }
    long now = core.context.now();
    RequestState request = new RequestState(call, route.get(), now, () -> {});
    return switch (role) {
      case PREFILL -> core.predictor.prefillEnd(request, state) - now;
      case SERVICE -> core.predictor.serviceEnd(state) - now;
      case DECODE ->
          (long) (core.predictor.decodeNanos(state) * core.predictor.remainingTokens(request));
    };
  }

  private static CandidateSet candidatesOf(Route route, Role role) {
    return switch (role) {
      case PREFILL -> route.prefill();
      case DECODE -> route.decode();
      case SERVICE -> route.service();
    };
  }

  private UpstreamStatus describe(UpstreamState state) {
    boolean shared = core.context.settings().sharedSlots();
    return new UpstreamStatus(
        state.name,
        state.isConfigured(),
        state.health.isEjectedOrProbing(),
        state.slots.usable(core.context.now(), shared, core.upstreams.nodeCount()),
        Math.max(0, core.upstreams.unreservedSlots(state)),
        state.attempts.size(),
        state.speeds.prefillTokensPerSecond(),
        state.speeds.decodeNanosPerToken());
  }
}
