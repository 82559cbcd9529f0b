/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import java.util.ArrayList;
import java.util.List;
import org.larkkeel.router.PlacementPolicy;
import org.larkkeel.router.QueuePolicy;
import org.larkkeel.router.ReservationPolicy;

/**
 * Chooses upstreams for a request among those with room.
 *
 * <p>Looks at a bounded number of upstreams, but for the baseline that compares them all. Not safe
 * for use by several threads.
 *
 * @since 0.1
 */
public final class Placement {
  private static final long AVOID_PENALTY_NANOS = 3_600_000_000_000L;
  private static final long SLOW_PENALTY_NANOS = 10_000_000_000L;
  private static final int BEST_PREFILLS = 3;
  private static final int AFFINITY_SAMPLE = 4;

  private final Context context;
  private final Fleet fleet;
  private final Predictor predictor;
  private final Caution caution;
  private final List<UpstreamState> prefills = new ArrayList<>();
  private final List<UpstreamState> decodes = new ArrayList<>();

  /**
   * Creates a placement.
   *
   * @param context what the parts of the router share
   * @param fleet the upstreams
   * @param predictor predicts the steps
   */
  public Placement(Context context, Fleet fleet, Predictor predictor) {
    this.context = context;
    this.fleet = fleet;
    this.predictor = predictor;
    this.caution =
        switch (context.settings().reservation()) {
          case ReservationPolicy.PredictedRelease release -> new Caution(release.caution());
          case ReservationPolicy.None none -> new Caution(0);
          case ReservationPolicy.Strict strict -> new Caution(0);
        };
  }

  /**
   * What is learnt from KV caches that were lost or used.
   *
   * @return the caution
   */
  public Caution caution() {
    return caution;
  }

  /**
   * Chooses where a request goes.
   *
   * @param request the request
   * @return the choice; null if it has to wait
   */
  public Choice choose(RequestState request) {
    return request.isPlain() ? chooseService(request) : choosePair(request);
  }

  /**
   * Chooses a decode engine for a KV cache that is held.
   *
   * @param request the request
   * @return the engine; null if it has to wait
   */
  public UpstreamState chooseDecode(RequestState request) {
    UpstreamState promised = request.promised;
    if (promised != null && canStart(promised) && promised != request.avoid) {
      return promised;
    }
    CandidateSet set = request.route.decode();
    if (!(context.settings().placement() instanceof PlacementPolicy.PredictedFinish policy)) {
      UpstreamState picked = pickBaseline(set);
      return picked != null && canStart(picked) ? picked : null;
    }
    decodes.clear();
    set.sample(2 * policy.sample(), context.random(), decodes);
    UpstreamState best = null;
    double bestCost = Double.MAX_VALUE;
    for (UpstreamState decode : decodes) {
      if (!canStart(decode)) {
        continue;
      }
      double cost = decodeCost(request, request.prefill.upstream, decode, context.now());
      if (cost < bestCost) {
        best = decode;
        bestCost = cost;
      }
    }
    return best;
  }

  private boolean canStart(UpstreamState decode) {
    if (context.settings().queue() instanceof QueuePolicy.Immediate) {
      return decode.takesRequests();
    }
    return decode.takesRequests() && fleet.free(decode) > 0;
  }

  private Choice chooseService(RequestState request) {
    CandidateSet set = request.route.service();
    if (!(context.settings().placement() instanceof PlacementPolicy.PredictedFinish policy)) {
      UpstreamState picked = pickBaseline(set);
      return picked == null ? null : new Choice(picked, null, 0, 0);
    }
    prefills.clear();
    set.sample(policy.sample(), context.random(), prefills);
    UpstreamState best = null;
    long bestEnd = Long.MAX_VALUE;
    for (UpstreamState service : prefills) {
      long end = predictor.serviceEnd(service) + avoidance(request, service);
      if (end < bestEnd) {
        best = service;
        bestEnd = end;
      }
    }
    return best == null ? null : of(best, bestEnd - context.now());
  }

  private Choice choosePair(RequestState request) {
    if (!(context.settings().placement() instanceof PlacementPolicy.PredictedFinish policy)) {
      UpstreamState picked = pickBaseline(request.route.prefill());
      return picked == null ? null : new Choice(picked, null, 0, 0);
    }
    gatherPrefills(request, policy.sample());
    boolean reserves = !(context.settings().reservation() instanceof ReservationPolicy.None);
    decodes.clear();
    if (reserves) {
      request.route.decode().sample(policy.sample(), context.random(), decodes);
    }
    if (prefills.isEmpty() || (reserves && decodes.isEmpty())) {
      return null;
    }
    keepBest(request);
    return reserves ? bestPair(request) : choiceOf(request, prefills.getFirst(), null);
  }

  private void gatherPrefills(RequestState request, int sample) {
    CandidateSet set = request.route.prefill();
    prefills.clear();
    set.sample(sample, context.random(), prefills);
    if (prefills.isEmpty() && isSmall(request)) {
      sampleBusy(set, sample);
      return;
    }
    List<UpstreamState> holders = fleet.prefixes().longest(request.prefixes().keys());
    int count = Math.min(AFFINITY_SAMPLE, holders.size());
    for (int i = 0; i < count; i++) {
      UpstreamState holder = holders.get(i);
      if (set.hasRoom(holder) && !prefills.contains(holder)) {
        prefills.add(holder);
      }
    }
  }

  private boolean isSmall(RequestState request) {
    return request.contextTokens() <= context.settings().smallPromptTokens();
  }

  private void sampleBusy(CandidateSet set, int sample) {
    List<UpstreamState> all = set.all();
    if (all.isEmpty()) {
      return;
    }
    int start = context.random().nextInt(all.size());
    int count = Math.min(sample, all.size());
    for (int i = 0; i < count; i++) {
      UpstreamState state = all.get((start + i) % all.size());
      if (state.takesRequests() && state.prefills.running() < state.slots.limit()) {
        prefills.add(state);
      }
    }
  }

  private void keepBest(RequestState request) {
    int keep = Math.min(BEST_PREFILLS, prefills.size());
    for (int i = 0; i < keep; i++) {
      int best = i;
      for (int j = i + 1; j < prefills.size(); j++) {
        if (prefillCost(request, prefills.get(j)) < prefillCost(request, prefills.get(best))) {
          best = j;
        }
      }
      UpstreamState chosen = prefills.get(best);
      prefills.set(best, prefills.get(i));
      prefills.set(i, chosen);
    }
    while (prefills.size() > keep) {
      prefills.removeLast();
    }
  }

  private long prefillCost(RequestState request, UpstreamState engine) {
    return predictor.prefillEnd(request, engine) + avoidance(request, engine);
  }

  private Choice bestPair(RequestState request) {
    UpstreamState bestPrefill = null;
    UpstreamState bestDecode = null;
    double bestCost = Double.MAX_VALUE;
    for (UpstreamState prefill : prefills) {
      long ready = predictor.prefillEnd(request, prefill);
      for (UpstreamState decode : decodes) {
        if (!isPromisable(request.route.decode(), decode, ready - context.now())) {
          continue;
        }
        double cost = decodeCost(request, prefill, decode, ready) + avoidance(request, prefill);
        if (cost < bestCost) {
          bestCost = cost;
          bestPrefill = prefill;
          bestDecode = decode;
        }
      }
    }
    return bestPrefill == null ? null : choiceOf(request, bestPrefill, bestDecode);
  }

  private Choice choiceOf(RequestState request, UpstreamState prefill, UpstreamState decode) {
    long now = context.now();
    long ready = predictor.prefillEnd(request, prefill);
    UpstreamState to = decode == null ? anyDecode(request, prefill) : decode;
    long there = predictor.transferEnd(predictor.kvBytes(request), prefill, to, ready);
    double perToken = predictor.decodeNanos(to);
    long first = there - now + (long) perToken;
    return new Choice(
        prefill, decode, first, first + (long) (perToken * predictor.remainingTokens(request)));
  }

  private static UpstreamState anyDecode(RequestState request, UpstreamState otherwise) {
    List<UpstreamState> all = request.route.decode().all();
    return all.isEmpty() ? otherwise : all.getFirst();
  }

  private static Choice of(UpstreamState service, long nanos) {
    return new Choice(service, null, nanos, nanos);
  }

  private double decodeCost(
      RequestState request, UpstreamState prefill, UpstreamState decode, long ready) {
    long bytes = request.kvBytes > 0 ? request.kvBytes : predictor.kvBytes(request);
    long there = predictor.transferEnd(bytes, prefill, decode, ready);
    double perToken = predictor.decodeNanos(decode);
    double cost = there + perToken * predictor.remainingTokens(request);
    if (isTooSlow(request, there, perToken)) {
      cost += SLOW_PENALTY_NANOS;
    }
    return cost + avoidance(request, decode);
  }

  /** Whether the mean time between tokens would miss its target, an interruption included. */
  private boolean isTooSlow(RequestState request, long there, double perToken) {
    long target = request.route.rule().targets().betweenTokens().toNanos();
    if (request.firstTokenAt == 0) {
      return perToken > target;
    }
    double left = predictor.remainingTokens(request);
    double span = there + perToken * left - request.firstTokenAt;
    return span > target * (request.tokens + left);
  }

  private boolean isPromisable(CandidateSet set, UpstreamState decode, long horizon) {
    int unpromised = fleet.unpromised(decode);
    return switch (context.settings().reservation()) {
      case ReservationPolicy.None none -> true;
      case ReservationPolicy.Strict strict -> unpromised > 0;
      case ReservationPolicy.PredictedRelease release ->
          isUnseen(set)
              ? releases(set, horizon, release) + set.spare() >= 1 + caution.margin()
              : unpromised > 0 || releases(set, horizon, release) + set.spare() >= 1;
    };
  }

  /** Whether other nodes use the same engines. */
  private boolean isUnseen(CandidateSet set) {
    return set.others() > 0;
  }

  /** Slots of all decode engines that come free, almost certainly, while the KV cache is held. */
  private double releases(
      CandidateSet set, long horizon, ReservationPolicy.PredictedRelease policy) {
    double window = horizon + policy.holdShare() * context.settings().kvHoldNanos();
    double expected = set.releaseRate() * window;
    return expected - caution.deviations() * Math.sqrt(expected);
  }

  private long avoidance(RequestState request, UpstreamState state) {
    return request.avoid == state ? AVOID_PENALTY_NANOS : 0;
  }

  private UpstreamState pickBaseline(CandidateSet set) {
    int rooms = set.roomyCount();
    if (rooms == 0) {
      return null;
    }
    decodes.clear();
    set.sample(rooms, context.random(), decodes);
    if (context.settings().placement() instanceof PlacementPolicy.Random) {
      return decodes.get(context.random().nextInt(rooms));
    }
    UpstreamState best = null;
    for (UpstreamState state : decodes) {
      if (best == null || state.attempts.size() < best.attempts.size()) {
        best = state;
      }
    }
    return best;
  }
}
