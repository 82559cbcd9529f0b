/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import com.google.common.collect.ImmutableSet;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.relay.PromptKey;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.ServiceName;

/**
 * What the upstreams that may run calls of a service accept now, without a choice among them.
 *
 * <p>Not thread-safe.
 */
final class UpstreamAvailability {
  private final UpstreamTable upstreams;
  private final long missingNanos;

  /**
   * Creates the queries.
   *
   * @param upstreams the known upstreams
   * @param missingNanos the time after which a missing upstream is never chosen, in nanoseconds
   */
  UpstreamAvailability(UpstreamTable upstreams, long missingNanos) {
    this.upstreams = upstreams;
    this.missingNanos = missingNanos;
  }

  /**
   * Returns the maximum free capacity, in tokens, of one upstream that may run calls of a service.
   */
  long maxFree(ServiceName service, CallDemand demand) {
    return upstreams.ofService(service).stream()
        .filter(s -> s.upstream().stage().runsCalls())
        .filter(s -> !s.isLeaving() && !s.isMissing())
        .mapToLong(s -> Math.round(demand.maxFill() * demand.memoryTokens()) - s.totalLoad())
        .max()
        .orElse(0);
  }

  /** Returns whether there is an upstream that may run a call, even if it is full. */
  boolean hasUpstream(long at, PendingReservation call) {
    return upstreams.ofService(call.service()).stream()
        .anyMatch(
            s ->
                s.upstream().stage().runsCalls()
                    && !s.isLeaving()
                    && call.accepts(s)
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
    for (UpstreamState s : upstreams.ofService(service)) {
      if (!s.upstream().stage().runsCalls()) {
        continue;
      }
      if (!s.acceptsWork(at)) {
        notAccepting.add(s.incarnation());
      } else if (s.isHealthy(at) && !s.isFull(at)) {
        someEligible = true;
      } else {
        notEligible.add(s.incarnation());
      }
    }
    return (someEligible ? notAccepting.addAll(notEligible.build()) : notAccepting).build();
  }

  /**
   * Returns the earliest time at which an upstream that may run a call accepts requests again, by
   * its notices: after its backoff, or once this node has a permit. Empty if an upstream accepts
   * work now, or if none is left.
   */
  OptionalLong acceptsWorkAt(long at, PendingReservation call) {
    List<UpstreamState> left =
        upstreams.ofService(call.service()).stream()
            .filter(s -> s.upstream().stage().runsCalls() && !s.isLeaving() && !s.isMissing())
            .filter(call::accepts)
            .toList();
    return left.stream().noneMatch(s -> s.acceptsWork(at))
        ? left.stream().mapToLong(s -> acceptsWorkAt(at, s)).min()
        : OptionalLong.empty();
  }

  private long acceptsWorkAt(long at, UpstreamState s) {
    return s.isInBackoff(at) ? s.backoffUntil() : upstreams.rateLimits().permitAt(at, s).orElse(at);
  }

  /**
   * Returns the healthy upstream that a prompt ranks first among those that run calls; empty if
   * that is {@code own}, or if there is none.
   */
  Optional<RelayUpstream> firstRanked(
      long at, ServiceName service, PromptKey prompt, UpstreamState own) {
    return upstreams.ofService(service).stream()
        .filter(s -> s.upstream().stage().runsCalls())
        .filter(s -> s.isHealthy(at))
        .min(Comparator.comparingDouble(s -> prompt.rank(s.upstream().name())))
        .filter(s -> s != own)
        .map(UpstreamState::upstream);
  }
}
