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
 * Chooses upstreams for a request among those with free capacity.
 *
 * <p>Compares a bounded number of upstreams, except in the baseline policies, which compare all.
 * Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Placement {
  /** Ranks the upstream of the last failed attempt behind all others. */
  private static final long FAILED_UPSTREAM_PENALTY_NANOS = 3_600_000_000_000L;

  private static final long SLOW_PENALTY_NANOS = 10_000_000_000L;
  private static final int MAX_COMPARED_PREFILLS = 2;
  private static final int PREFIX_SAMPLE = 4;

  private final Context context;
  private final UpstreamTable upstreams;
  private final Predictor predictor;
  private final ReleaseMargin releaseMargin;
  private final List<UpstreamState> firstCandidates = new ArrayList<>();
  private final List<UpstreamState> decodeCandidates = new ArrayList<>();
  private long[] prefillEnds = new long[16];

  /**
   * Creates the placement of a router.
   *
   * @param context the shared state of the router
   * @param upstreams the upstreams
   * @param predictor predicts the durations of the steps
   */
  public Placement(Context context, UpstreamTable upstreams, Predictor predictor) {
    this.context = context;
    this.upstreams = upstreams;
    this.predictor = predictor;
    this.releaseMargin =
        switch (context.settings().reservation()) {
          case ReservationPolicy.PredictedRelease release ->
              new ReleaseMargin(release.initialDeviations());
          case ReservationPolicy.None none -> new ReleaseMargin(0);
          case ReservationPolicy.Strict strict -> new ReleaseMargin(0);
        };
  }

  /**
   * Returns the safety margin of release predictions, which adapts to lost and used KV caches.
   *
   * @return the margin
   */
  public ReleaseMargin releaseMargin() {
    return releaseMargin;
  }

  /**
   * Chooses the upstreams for a request.
   *
   * @param request the request
   * @return the choice; null if the request must wait
   */
  public Choice choose(RequestState request) {
    return request.isPlain() ? chooseService(request) : choosePair(request);
  }

  /**
   * Chooses a decode engine for a held KV cache.
   *
   * @param request the request
   * @return the engine; null if the request must wait
   */
  public UpstreamState chooseDecode(RequestState request) {
    UpstreamState reserved = request.reservedDecode;
    if (reserved != null && canStart(reserved) && reserved != request.failedUpstream) {
      return reserved;
    }
    CandidateSet set = request.route.decode();
    if (!(context.settings().placement() instanceof PlacementPolicy.PredictedFinish policy)) {
      UpstreamState picked = pickBaseline(set);
      return picked != null && canStart(picked) ? picked : null;
    }
    decodeCandidates.clear();
    set.sample(2 * policy.sample(), context.random(), decodeCandidates);
    UpstreamState best = null;
    double bestCost = Double.MAX_VALUE;
    for (UpstreamState decode : decodeCandidates) {
      if (!canStart(decode)) {
        continue;
      }
      double decodeCost = decodeCost(request, decode);
      double cost = pairCost(request, request.prefill.upstream, decode, context.now(), decodeCost);
      if (cost < bestCost) {
        best = decode;
        bestCost = cost;
      }
    }
    return best;
  }

  private boolean canStart(UpstreamState decode) {
    if (context.settings().queue() instanceof QueuePolicy.Immediate) {
      return decode.acceptsRequests();
    }
    return decode.acceptsRequests() && upstreams.freeSlots(decode) > 0;
  }

  private Choice chooseService(RequestState request) {
    CandidateSet set = request.route.service();
    if (!(context.settings().placement() instanceof PlacementPolicy.PredictedFinish policy)) {
      UpstreamState picked = pickBaseline(set);
      return picked == null ? null : new Choice(picked, null, 0, 0);
    }
    firstCandidates.clear();
    set.sample(policy.sample(), context.random(), firstCandidates);
    UpstreamState best = null;
    long bestEnd = Long.MAX_VALUE;
    for (UpstreamState service : firstCandidates) {
      long end = predictor.serviceEnd(service) + failurePenalty(request, service);
      if (end < bestEnd) {
        best = service;
        bestEnd = end;
      }
    }
    return best == null ? null : choiceOfService(best, bestEnd - context.now());
  }

  private Choice choosePair(RequestState request) {
    if (!(context.settings().placement() instanceof PlacementPolicy.PredictedFinish policy)) {
      UpstreamState picked = pickBaseline(request.route.prefill());
      return picked == null ? null : new Choice(picked, null, 0, 0);
    }
    collectPrefills(request, policy.sample());
    boolean reserves = !(context.settings().reservation() instanceof ReservationPolicy.None);
    decodeCandidates.clear();
    if (reserves) {
      request.route.decode().sample(policy.sample(), context.random(), decodeCandidates);
    }
    if (firstCandidates.isEmpty() || (reserves && decodeCandidates.isEmpty())) {
      return null;
    }
    keepBestPrefills(request);
    return reserves
        ? bestPair(request)
        : choiceOf(request, firstCandidates.getFirst(), null, prefillEnds[0]);
  }

  private void collectPrefills(RequestState request, int sampleSize) {
    CandidateSet set = request.route.prefill();
    firstCandidates.clear();
    set.sample(sampleSize, context.random(), firstCandidates);
    if (firstCandidates.isEmpty() && isSmall(request)) {
      sampleFull(set, sampleSize);
      return;
    }
    List<UpstreamState> withPrefix =
        upstreams.prefixes().withLongestPrefix(request.prefixes().keys());
    int count = Math.min(PREFIX_SAMPLE, withPrefix.size());
    for (int i = 0; i < count; i++) {
      UpstreamState candidate = withPrefix.get(i);
      if (set.hasCapacity(candidate) && !firstCandidates.contains(candidate)) {
        firstCandidates.add(candidate);
      }
    }
  }

  private boolean isSmall(RequestState request) {
    return request.contextTokens() <= context.settings().smallPromptTokens();
  }

  private void sampleFull(CandidateSet set, int sampleSize) {
    List<UpstreamState> all = set.all();
    if (all.isEmpty()) {
      return;
    }
    int start = context.random().nextInt(all.size());
    int count = Math.min(sampleSize, all.size());
    for (int i = 0; i < count; i++) {
      UpstreamState state = all.get((start + i) % all.size());
      if (state.acceptsRequests() && state.prefills.running() < state.slots.limit()) {
        firstCandidates.add(state);
      }
    }
  }

  /** Keeps the few prefill engines that would finish first, with the predicted end times. */
  private void keepBestPrefills(RequestState request) {
    int size = firstCandidates.size();
    if (prefillEnds.length < size) {
      prefillEnds = new long[size];
    }
    for (int i = 0; i < size; i++) {
      prefillEnds[i] = predictor.prefillEnd(request, firstCandidates.get(i));
    }
    int keep = Math.min(MAX_COMPARED_PREFILLS, size);
    for (int i = 0; i < keep; i++) {
      int best = i;
      for (int j = i + 1; j < size; j++) {
        if (prefillCost(request, j) < prefillCost(request, best)) {
          best = j;
        }
      }
      swapPrefills(i, best);
    }
    while (firstCandidates.size() > keep) {
      firstCandidates.removeLast();
    }
  }

  private void swapPrefills(int one, int other) {
    final UpstreamState firstPrefill = firstCandidates.get(one);
    final long firstEnd = prefillEnds[one];
    firstCandidates.set(one, firstCandidates.get(other));
    prefillEnds[one] = prefillEnds[other];
    firstCandidates.set(other, firstPrefill);
    prefillEnds[other] = firstEnd;
  }

  private long prefillCost(RequestState request, int index) {
    return prefillEnds[index] + failurePenalty(request, firstCandidates.get(index));
  }

  private Choice bestPair(RequestState request) {
    int best = -1;
    UpstreamState bestDecode = null;
    double bestCost = Double.MAX_VALUE;
    for (int d = 0; d < decodeCandidates.size(); d++) {
      UpstreamState decode = decodeCandidates.get(d);
      double decodeCost = decodeCost(request, decode);
      for (int p = 0; p < firstCandidates.size(); p++) {
        UpstreamState prefill = firstCandidates.get(p);
        double cost = pairCost(request, prefill, decode, prefillEnds[p], decodeCost);
        if (cost >= bestCost
            || !isReservable(request.route.decode(), decode, prefillEnds[p] - context.now())) {
          continue;
        }
        bestCost = cost;
        best = p;
        bestDecode = decode;
      }
    }
    return best < 0
        ? null
        : choiceOf(request, firstCandidates.get(best), bestDecode, prefillEnds[best]);
  }

  /** Returns the cost of a decode engine that does not depend on the prefill engine. */
  private double decodeCost(RequestState request, UpstreamState decode) {
    return predictor.decodeNanos(decode) * predictor.remainingTokens(request)
        + failurePenalty(request, decode);
  }

  private double pairCost(
      RequestState request,
      UpstreamState prefill,
      UpstreamState decode,
      long prefillEnd,
      double decodeCost) {
    long bytes = request.kvBytes > 0 ? request.kvBytes : predictor.kvBytes(request);
    long transferEnd = predictor.transferEnd(bytes, prefill, decode, prefillEnd);
    double slowPenalty = isTooSlow(request, transferEnd, decodeCost) ? SLOW_PENALTY_NANOS : 0;
    return transferEnd + decodeCost + slowPenalty + failurePenalty(request, prefill);
  }

  private Choice choiceOf(
      RequestState request, UpstreamState prefill, UpstreamState decode, long prefillEnd) {
    long now = context.now();
    UpstreamState target = decode == null ? anyDecodeOr(request, prefill) : decode;
    long transferEnd =
        predictor.transferEnd(predictor.kvBytes(request), prefill, target, prefillEnd);
    double nanosPerToken = predictor.decodeNanos(target);
    long firstNanos = transferEnd - now + (long) nanosPerToken;
    return new Choice(
        prefill,
        decode,
        firstNanos,
        firstNanos + (long) (nanosPerToken * predictor.remainingTokens(request)));
  }

  private static UpstreamState anyDecodeOr(RequestState request, UpstreamState fallback) {
    List<UpstreamState> all = request.route.decode().all();
    return all.isEmpty() ? fallback : all.getFirst();
  }

  private static Choice choiceOfService(UpstreamState service, long nanos) {
    return new Choice(service, null, nanos, nanos);
  }

  /**
   * Returns whether the mean time between tokens, including any interruption so far, would miss its
   * target.
   */
  private boolean isTooSlow(RequestState request, long transferEnd, double decodeCost) {
    long target = request.route.rule().targets().betweenTokens().toNanos();
    double remaining = predictor.remainingTokens(request);
    if (request.firstTokenAt == 0) {
      return decodeCost > target * remaining && decodeCost < FAILED_UPSTREAM_PENALTY_NANOS;
    }
    return transferEnd + decodeCost - request.firstTokenAt
        > target * (request.deliveredTokens + remaining);
  }

  private boolean isReservable(CandidateSet set, UpstreamState decode, long prefillNanos) {
    int unreserved = upstreams.unreservedSlots(decode);
    return switch (context.settings().reservation()) {
      case ReservationPolicy.None none -> true;
      case ReservationPolicy.Strict strict -> unreserved > 0;
      case ReservationPolicy.PredictedRelease release when context.settings().sharedSlots() ->
          unreserved > 0;
      case ReservationPolicy.PredictedRelease release ->
          isSharedWithOtherNodes(set)
              ? predictedReleases(set, prefillNanos, release) + set.unreserved()
                  >= 1 + releaseMargin.slots()
              : unreserved > 0
                  || predictedReleases(set, prefillNanos, release) + set.unreserved() >= 1;
    };
  }

  /** Returns whether other nodes use the same engines, whose reservations this node can't see. */
  private boolean isSharedWithOtherNodes(CandidateSet set) {
    return set.heldByOthers() > 0;
  }

  /**
   * Returns a cautious estimate of the slots of all decode engines that are released while the KV
   * cache is held: the expected number less a margin of standard deviations.
   */
  private double predictedReleases(
      CandidateSet set, long prefillNanos, ReservationPolicy.PredictedRelease policy) {
    double windowNanos = prefillNanos + policy.holdShare() * context.settings().kvHoldNanos();
    double expected = set.releaseRate() * windowNanos;
    return expected - releaseMargin.deviations() * Math.sqrt(expected);
  }

  private long failurePenalty(RequestState request, UpstreamState state) {
    return request.failedUpstream == state ? FAILED_UPSTREAM_PENALTY_NANOS : 0;
  }

  private UpstreamState pickBaseline(CandidateSet set) {
    int count = set.availableCount();
    if (count == 0) {
      return null;
    }
    decodeCandidates.clear();
    set.sample(count, context.random(), decodeCandidates);
    if (context.settings().placement() instanceof PlacementPolicy.Random) {
      return decodeCandidates.get(context.random().nextInt(count));
    }
    UpstreamState best = null;
    for (UpstreamState state : decodeCandidates) {
      if (best == null || state.attempts.size() < best.attempts.size()) {
        best = state;
      }
    }
    return best;
  }
}
