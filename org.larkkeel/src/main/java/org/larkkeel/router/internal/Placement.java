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
  private static final int BEST_PREFILLS = 2;
  private static final int AFFINITY_SAMPLE = 4;

  private final Context context;
  private final Fleet fleet;
  private final Predictor predictor;
  private final Caution caution;
  private final List<UpstreamState> prefills = new ArrayList<>();
  private final List<UpstreamState> decodes = new ArrayList<>();
  private long[] readyAt = new long[16];

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
      double rest = restCost(request, decode);
      double cost = pairCost(request, request.prefill.upstream, decode, context.now(), rest);
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
    return reserves ? bestPair(request) : choiceOf(request, prefills.getFirst(), null, readyAt[0]);
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

  /** Keeps the few prefill engines that would be ready first, and when they would. */
  private void keepBest(RequestState request) {
    int size = prefills.size();
    if (readyAt.length < size) {
      readyAt = new long[size];
    }
    for (int i = 0; i < size; i++) {
      readyAt[i] = predictor.prefillEnd(request, prefills.get(i));
    }
    int keep = Math.min(BEST_PREFILLS, size);
    for (int i = 0; i < keep; i++) {
      int best = i;
      for (int j = i + 1; j < size; j++) {
        if (prefillCost(request, j) < prefillCost(request, best)) {
          best = j;
        }
      }
      swapPrefills(i, best);
    }
    while (prefills.size() > keep) {
      prefills.removeLast();
    }
  }

  private void swapPrefills(int one, int other) {
    final UpstreamState moved = prefills.get(one);
    final long movedReady = readyAt[one];
    prefills.set(one, prefills.get(other));
    readyAt[one] = readyAt[other];
    prefills.set(other, moved);
    readyAt[other] = movedReady;
  }

  private long prefillCost(RequestState request, int index) {
    return readyAt[index] + avoidance(request, prefills.get(index));
  }

  private Choice bestPair(RequestState request) {
    int best = -1;
    UpstreamState bestDecode = null;
    double bestCost = Double.MAX_VALUE;
    for (int d = 0; d < decodes.size(); d++) {
      UpstreamState decode = decodes.get(d);
      double rest = restCost(request, decode);
      for (int p = 0; p < prefills.size(); p++) {
        UpstreamState prefill = prefills.get(p);
        double cost = pairCost(request, prefill, decode, readyAt[p], rest);
        if (cost >= bestCost
            || !isPromisable(request.route.decode(), decode, readyAt[p] - context.now())) {
          continue;
        }
        bestCost = cost;
        best = p;
        bestDecode = decode;
      }
    }
    return best < 0 ? null : choiceOf(request, prefills.get(best), bestDecode, readyAt[best]);
  }

  /** The cost of a decode engine, whatever the prefill engine. */
  private double restCost(RequestState request, UpstreamState decode) {
    return predictor.decodeNanos(decode) * predictor.remainingTokens(request)
        + avoidance(request, decode);
  }

  private double pairCost(
      RequestState request, UpstreamState prefill, UpstreamState decode, long ready, double rest) {
    long bytes = request.kvBytes > 0 ? request.kvBytes : predictor.kvBytes(request);
    long there = predictor.transferEnd(bytes, prefill, decode, ready);
    double slow = isTooSlow(request, there, rest) ? SLOW_PENALTY_NANOS : 0;
    return there + rest + slow + avoidance(request, prefill);
  }

  private Choice choiceOf(
      RequestState request, UpstreamState prefill, UpstreamState decode, long ready) {
    long now = context.now();
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

  /** Whether the mean time between tokens would miss its target, an interruption included. */
  private boolean isTooSlow(RequestState request, long there, double rest) {
    long target = request.route.rule().targets().betweenTokens().toNanos();
    double left = predictor.remainingTokens(request);
    if (request.firstTokenAt == 0) {
      return rest > target * left && rest < AVOID_PENALTY_NANOS;
    }
    return there + rest - request.firstTokenAt > target * (request.tokens + left);
  }

  private boolean isPromisable(CandidateSet set, UpstreamState decode, long horizon) {
    int unpromised = fleet.unpromised(decode);
    return switch (context.settings().reservation()) {
      case ReservationPolicy.None none -> true;
      case ReservationPolicy.Strict strict -> unpromised > 0;
      case ReservationPolicy.PredictedRelease release when context.settings().sharedSlots() ->
          unpromised > 0;
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
