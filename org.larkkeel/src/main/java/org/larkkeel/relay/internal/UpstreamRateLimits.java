/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import com.google.common.collect.ImmutableList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.quota.QuotaKey;
import org.larkkeel.quota.TokenLimit;
import org.larkkeel.relay.RateLimitChange;
import org.larkkeel.relay.RateLimitNotice;
import org.larkkeel.relay.RateLimitReport;
import org.larkkeel.relay.RateLimitUsage;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RequestRate;

/**
 * Enforces the rate limits that upstreams announce, over all nodes.
 *
 * <p>A request to an upstream with a limit needs a permit, which is one request's worth of that
 * upstream's quota. If there is none, a permit is requested and the call goes elsewhere or waits.
 * Invariant: each request that is sent to an upstream with a known limit takes a permit, and no
 * permit is used twice. Not thread-safe.
 */
final class UpstreamRateLimits {
  private static final double NANOS_PER_SECOND = 1e9;

  /** The maximum number of upstreams that are reported to other nodes at a time. */
  private static final int MAX_REPORTS = 64;

  private final HeldQuotas heldQuotas;
  private final Function<UpstreamIncarnation, Optional<UpstreamState>> find;
  private final Consumer<RelayFact> report;

  /** The upstreams that have a limit, or had one a moment ago. */
  private final Set<UpstreamState> recentlyLimited = new LinkedHashSet<>();

  /**
   * Creates an instance without limits.
   *
   * @param heldQuotas the quota tokens that this node holds
   * @param find finds the state of a current incarnation
   * @param report receives the changes of limits
   */
  UpstreamRateLimits(
      HeldQuotas heldQuotas,
      Function<UpstreamIncarnation, Optional<UpstreamState>> find,
      Consumer<RelayFact> report) {
    this.heldQuotas = heldQuotas;
    this.find = find;
    this.report = report;
  }

  /** Applies the notice of an answer; returns whether the limit has ended. */
  boolean applyNotice(long at, UpstreamState s, long sentAt, RateLimitNotice notice) {
    return change(s, at - sentAt, "answer", state -> state.applyNotice(sentAt, at, notice));
  }

  /** Merges the reports of another node; returns whether a limit has ended. */
  boolean merge(long at, ImmutableList<RateLimitReport> reports) {
    boolean ended = false;
    for (RateLimitReport limitReport : reports) {
      Optional<UpstreamState> s = find.apply(limitReport.upstream());
      ended |=
          s.isPresent()
              && change(
                  s.get(), limitReport.ageNanos(), "node", state -> state.merge(at, limitReport));
    }
    return ended;
  }

  private boolean change(
      UpstreamState s,
      long age,
      String source,
      Function<RateLimitState, Optional<RateLimitChange>> apply) {
    final Optional<RequestRate> previous = s.rateLimit().limit();
    Optional<RateLimitChange> change = apply.apply(s.rateLimit());
    if (change.isEmpty()) {
      return false;
    }
    recentlyLimited.add(s);
    report.accept(
        new RelayFact.RateLimit(
            s.incarnation(), change.get(), previous, s.rateLimit().limit(), source, age));
    boolean ended = change.get() == RateLimitChange.LIFTED;
    if (ended) {
      heldQuotas.remove(key(s));
    }
    return ended;
  }

  /** Returns the reports for other nodes. */
  ImmutableList<RateLimitReport> reports(long at) {
    if (recentlyLimited.isEmpty()) {
      return ImmutableList.of();
    }
    prune(at);
    return recentlyLimited.stream()
        .limit(MAX_REPORTS)
        .map(s -> s.rateLimit().report(at, s.incarnation()))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the limits in force and this node's usage of each. */
  ImmutableList<RateLimitUsage> usages(long at) {
    return recentlyLimited.stream()
        .flatMap(s -> s.rateLimit().usage(at, s.incarnation()).stream())
        .collect(ImmutableList.toImmutableList());
  }

  /** Drops limits that ended some time ago, and those of ended incarnations. */
  private void prune(long at) {
    for (Iterator<UpstreamState> i = recentlyLimited.iterator(); i.hasNext(); ) {
      UpstreamState s = i.next();
      boolean hasEnded = find.apply(s.incarnation()).isEmpty();
      if (hasEnded) {
        heldQuotas.remove(key(s));
      }
      if (hasEnded || !s.rateLimit().shouldReport(at)) {
        i.remove();
      }
    }
  }

  /**
   * Returns whether an upstream has a limit, or had one a moment ago, so that each of its answers
   * counts.
   */
  boolean isLimited(UpstreamIncarnation incarnation) {
    return !recentlyLimited.isEmpty()
        && find.apply(incarnation).map(recentlyLimited::contains).orElse(false);
  }

  /** Returns whether any upstream has a limit, or had one a moment ago. */
  boolean hasLimits() {
    return !recentlyLimited.isEmpty();
  }

  /** Returns the limit of an upstream; empty if the incarnation is not the current one. */
  Optional<TokenLimit> limit(UpstreamIncarnation incarnation) {
    return find.apply(incarnation)
        .map(s -> s.rateLimit().limit().map(UpstreamRateLimits::limit).orElse(TokenLimit.NONE));
  }

  private static TokenLimit limit(RequestRate rate) {
    return new TokenLimit(rate.thousandths(), QuotaKey.OfUpstream.UNITS_PER_REQUEST);
  }

  /** Returns whether a request may be sent now; if not, a permit is requested. */
  boolean hasPermit(long at, UpstreamState s) {
    Optional<RequestRate> rate = s.rateLimit().limit();
    return rate.isEmpty()
        || heldQuotas.ensureHeld(
            at, key(s), limit(rate.get()), QuotaKey.OfUpstream.UNITS_PER_REQUEST);
  }

  /** Spends a permit for a request that is sent, if the upstream has a limit. */
  void spend(UpstreamState s) {
    if (s.rateLimit().limit().isPresent()) {
      heldQuotas.spend(key(s), QuotaKey.OfUpstream.UNITS_PER_REQUEST);
      s.rateLimit().countRequest();
    }
  }

  /**
   * Returns the time at which this node may have a permit for an upstream with a limit: as the
   * quota coordinator has announced; now if its answer is about to come; after the mean time
   * between two permits if the coordinator is unresponsive. Empty if there is no limit.
   */
  OptionalLong permitAt(long at, UpstreamState s) {
    Optional<RequestRate> rate = s.rateLimit().limit();
    if (rate.isEmpty()) {
      return OptionalLong.empty();
    }
    long refills = heldQuotas.refillsAt(key(s));
    if (refills > at) {
      return OptionalLong.of(refills);
    }
    long mean = (long) (NANOS_PER_SECOND / rate.get().perSecond());
    return OptionalLong.of(heldQuotas.holderAt(at).isCoordinatorUnresponsive(at) ? at + mean : at);
  }

  private static QuotaKey key(UpstreamState s) {
    return new QuotaKey.OfUpstream(s.incarnation());
  }
}
