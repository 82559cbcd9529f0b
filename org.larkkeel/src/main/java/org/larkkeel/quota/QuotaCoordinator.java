/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.quota;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.larkkeel.lib.HostName;

/**
 * The state of all quotas at the coordinator. Quotas refill with the time that nodes lend.
 *
 * <p>Invariants: a quota gains its rate times the lent time, divided by the number of nodes. Its
 * level never exceeds its maximum times the fraction of nodes that lend to this coordinator, so
 * that two coordinators do not both accumulate the full burst. A request that is received twice
 * counts once. What the most urgent rank of a quota used in the last second is withheld from less
 * urgent demands, which creates no tokens. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class QuotaCoordinator {
  private static final double NANOS_PER_SECOND = 1e9;

  /** The maximum time that one request can lend; a node's earlier time is out of date. */
  private static final long MAX_LENT_NANOS = 1_000_000_000L;

  /** The maximum age of a node's last request for the node to count as lending. */
  private static final long LENDING_NANOS = 1_000_000_000L;

  /** The time for which an answered request is remembered, in case it is received again. */
  private static final long REMEMBERED_NANOS = 60_000_000_000L;

  /**
   * The time for which a coordinator counts as new and takes over the levels of its predecessor.
   */
  private static final long NEW_NANOS = 1_000_000_000L;

  /** The maximum age of the predecessor's report of its levels for it to be used. */
  private static final long MAX_REPORT_AGE_NANOS = 2_000_000_000L;

  /** A coordinator counts as new while less than this fraction of all nodes lend to it. */
  private static final double MIN_LENDER_FRACTION = 0.25;

  /** The maximum wait that a refused call is given. */
  private static final long MAX_WAIT_NANOS = 3_000_000_000L;

  /**
   * Tokens are granted in advance of demand while the level is above this fraction of its maximum;
   * one such grant takes at most this fraction of the level.
   */
  private static final double AHEAD_FRACTION = 0.25;

  private static final QuotaGrant EMPTY_GRANT = new QuotaGrant(0, 0, ImmutableList.of());

  private final QuotaTolerance tolerance;
  private final Map<QuotaKey, Level> levels = new HashMap<>();
  private final Map<HostName, Answered> answered = new HashMap<>();
  private Map<QuotaKey, Long> reportedLevels = Map.of();
  private long reportedAt = Long.MIN_VALUE / 2;
  private double lentSeconds;
  private int nodes = 1;
  private int lenders;
  private long lendersCountedAt = Long.MIN_VALUE / 2;
  private long newUntil = Long.MIN_VALUE;

  private record Answered(long at, long epoch, long sequence, QuotaGrant grant) {}

  /** The level of one quota. */
  private final class Level {
    private final QuotaKey key;
    private long requestedAt;
    private double tokens;
    private double refilledAt;
    private double takenOver;
    private final UrgentUse urgentUse = new UrgentUse();

    /** The time up to which the refill is assigned to calls that were told to retry. */
    private long promisedUntil = Long.MIN_VALUE;

    Level(QuotaKey key) {
      this.key = key;
    }

    void refill(TokenLimit limit) {
      double gained = (lentSeconds - refilledAt) * limit.perSecond();
      tokens = Math.min(maxLevel(key, limit), tokens + gained);
      refilledAt = lentSeconds;
    }

    /**
     * Adds the tokens that another coordinator had left, limited by the fraction of nodes that
     * already lend to this one.
     */
    void takeOver(long at, TokenLimit limit) {
      if (at >= newUntil || at - reportedAt > MAX_REPORT_AGE_NANOS) {
        takenOver = 0;
        return;
      }
      double reported = Math.min(reportedLevels.getOrDefault(key, 0L), maxLevel(key, limit));
      if (reported > takenOver) {
        tokens = Math.min(maxLevel(key, limit), tokens + reported - takenOver);
        takenOver = reported;
      }
    }

    long wholeTokens() {
      return (long) Math.max(0, Math.floor(tokens));
    }

    /** Returns the tokens left beyond a number of them. */
    long tokensBeyond(long tokens) {
      return Math.max(0, wholeTokens() - tokens);
    }

    /** Returns the time until some more tokens will have refilled, after those promised earlier. */
    long waitFor(long at, double missing, TokenLimit limit) {
      long nanos = (long) (missing / limit.perSecond() * NANOS_PER_SECOND);
      promisedUntil = Math.max(promisedUntil, at) + nanos;
      promisedUntil = Math.min(promisedUntil, at + MAX_WAIT_NANOS);
      return promisedUntil - at;
    }
  }

  /**
   * Creates a coordinator without tokens.
   *
   * @param tolerance the tolerance by which quotas of workspaces may be exceeded
   */
  public QuotaCoordinator(QuotaTolerance tolerance) {
    this.tolerance = tolerance;
  }

  /**
   * Grants tokens for a request.
   *
   * @param at the current time
   * @param node the requesting node
   * @param request the request
   * @param nodes the number of nodes as known to the coordinator
   * @param limits returns the limit of a quota; empty if it is not known
   * @return the grant; the previous one if the request was received before
   */
  public QuotaGrant grant(
      long at,
      HostName node,
      QuotaRequest request,
      int nodes,
      Function<QuotaKey, Optional<TokenLimit>> limits) {
    this.nodes = Math.max(1, nodes);
    Answered last = answered.get(node);
    if (last != null && last.epoch() == request.epoch() && request.sequence() <= last.sequence()) {
      return last.grant();
    }
    long lent = Math.clamp(request.lentNanos(), 0, MAX_LENT_NANOS);
    lentSeconds += lent / NANOS_PER_SECOND / Math.max(this.nodes, request.nodes());
    answered.put(node, new Answered(at, request.epoch(), request.sequence(), EMPTY_GRANT));
    countLenders(at, last == null);
    ImmutableList.Builder<QuotaGrant.Share> shares = ImmutableList.builder();
    for (QuotaRequest.Demand demand : request.demands()) {
      limits.apply(demand.key()).ifPresent(limit -> shares.add(share(at, demand, limit)));
    }
    QuotaGrant grant = new QuotaGrant(request.epoch(), request.sequence(), shares.build());
    answered.put(node, new Answered(at, request.epoch(), request.sequence(), grant));
    return grant;
  }

  private QuotaGrant.Share share(long at, QuotaRequest.Demand demand, TokenLimit limit) {
    if (!limit.isLimited()) {
      return new QuotaGrant.Share(demand.key(), demand.needed(), 0, 0);
    }
    Level level = levels.computeIfAbsent(demand.key(), Level::new);
    level.requestedAt = at;
    level.tokens += demand.returned();
    level.refill(limit);
    level.takeOver(at, limit);
    final long withheld = level.urgentUse.withheld(at, maxLevel(demand.key(), limit));
    long granted = granted(level, demand, withheld);
    level.tokens -= granted;
    level.urgentUse.add(at, Math.min(granted, demand.urgent()));
    long missing = demand.needed() - granted;
    long usable = granted < demand.urgent() ? level.wholeTokens() : level.tokensBeyond(withheld);
    long wait = missing > 0 ? level.waitFor(at, (double) (missing - usable), limit) : 0;
    long ahead = missing > 0 ? 0 : ahead(level, demand, limit, withheld);
    level.tokens -= ahead;
    return new QuotaGrant.Share(demand.key(), granted + ahead, level.tokensBeyond(withheld), wait);
  }

  /** Counts the nodes that lend, periodically and when a new one appears. */
  private void countLenders(long at, boolean isNew) {
    if (isNew) {
      lenders++;
    }
    if (at - lendersCountedAt > LENDING_NANOS / 10) {
      lendersCountedAt = at;
      answered.values().removeIf(a -> at - a.at() > REMEMBERED_NANOS);
      levels
          .values()
          .removeIf(
              l -> l.key instanceof QuotaKey.OfUpstream && at - l.requestedAt > REMEMBERED_NANOS);
      lenders = (int) answered.values().stream().filter(a -> at - a.at() <= LENDING_NANOS).count();
    }
    if (lenders < MIN_LENDER_FRACTION * nodes) {
      newUntil = at + NEW_NANOS;
    }
  }

  private double maxLevel(QuotaKey key, TokenLimit limit) {
    double saved = key.tolerance(tolerance).maxLevel(limit);
    return Math.max(key.unit(), saved * Math.min(1.0, (double) lenders / nodes));
  }

  /**
   * Returns the tokens granted for waiting calls and debt: for the most urgent rank all that it
   * needs, for the others only what is not withheld for it.
   */
  private static long granted(Level level, QuotaRequest.Demand demand, long withheld) {
    long urgent = Math.min(level.wholeTokens(), demand.urgent());
    long other = Math.min(demand.needed() - demand.urgent(), level.tokensBeyond(urgent + withheld));
    long useful = Math.min(demand.minUseful(), demand.needed());
    return urgent + other < useful ? 0 : urgent + other;
  }

  private long ahead(Level level, QuotaRequest.Demand demand, TokenLimit limit, long withheld) {
    long unit = demand.key().unit();
    long max = Math.min(demand.ahead(), (long) (AHEAD_FRACTION * level.tokens));
    max = Math.min(max, level.tokensBeyond(withheld));
    return level.tokens > AHEAD_FRACTION * maxLevel(demand.key(), limit) ? max - max % unit : 0;
  }

  /** Returns the tokens left of each quota, for the standby. */
  public QuotaLevels levels() {
    ImmutableMap.Builder<QuotaKey, Long> left = ImmutableMap.builder();
    levels.forEach((key, level) -> left.put(key, level.wholeTokens()));
    return new QuotaLevels(left.buildOrThrow());
  }

  /** Stores the levels that a coordinator reported, in case this node takes over from it. */
  public void levelsReceived(long at, QuotaLevels levels) {
    reportedLevels = levels.left();
    reportedAt = at;
  }

  /** Drops all state because another node is the coordinator now. */
  public void clear() {
    levels.clear();
    answered.clear();
    lentSeconds = 0;
    lenders = 0;
  }

  /** Returns the tokens left of a quota. */
  public long left(QuotaKey key, TokenLimit limit) {
    Level level = levels.get(key);
    if (level == null) {
      return (long) Math.min(maxLevel(key, limit), lentSeconds * limit.perSecond());
    }
    level.refill(limit);
    return level.wholeTokens();
  }
}
