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
 * All quotas at the coordinator, which refill with the time that nodes lend.
 *
 * <p>Invariants: a quota gains its rate times the lent time, divided by the number of nodes, and
 * never holds more than the part of what can be saved up that the nodes which lend are of all, so
 * that two coordinators do not save up twice; an ask that comes twice counts once. Not safe for use
 * by several threads.
 *
 * @since 0.1
 */
public final class QuotaPool {
  private static final double NANOS_PER_SECOND = 1e9;

  /** The longest time that one ask can lend: what a node did before is of no use any more. */
  private static final long MOST_LENT_NANOS = 1_000_000_000L;

  /** A node lends as long as its last ask is not older. */
  private static final long LENDING_NANOS = 1_000_000_000L;

  /** How long an ask is remembered, in case that it comes again. */
  private static final long FORGET_NANOS = 60_000_000_000L;

  /** How long a coordinator is new, and takes over what the one before had left. */
  private static final long NEW_NANOS = 1_000_000_000L;

  /** How long it counts what the coordinator before has told of its levels. */
  private static final long TOLD_NANOS = 2_000_000_000L;

  /** While fewer than this part of all nodes lend, a coordinator counts as new. */
  private static final double FEW = 0.25;

  /** The longest time that a refused call is told to wait. */
  private static final long LONGEST_WAIT_NANOS = 3_000_000_000L;

  /** Tokens are granted ahead of need while there is more than this part of the burst. */
  private static final double PLENTY = 0.25;

  private static final QuotaGrant NOTHING = new QuotaGrant(0, 0, ImmutableList.of());

  private final QuotaTolerance tolerance;
  private final Map<QuotaKey, Level> levels = new HashMap<>();
  private final Map<HostName, Answered> answered = new HashMap<>();
  private Map<QuotaKey, Long> told = Map.of();
  private long toldAt = Long.MIN_VALUE / 2;
  private double lentSeconds;
  private int nodes = 1;
  private int lenders;
  private long countedAt = Long.MIN_VALUE / 2;
  private long newUntil = Long.MIN_VALUE;

  private record Answered(long at, long epoch, long sequence, QuotaGrant grant) {}

  /** The tokens of one quota. */
  private final class Level {
    private final QuotaKey key;
    private long askedAt;
    private double tokens;
    private double refilledAt;
    private double takenOver;

    /** Up to when the refill is spoken for by calls that were told to come back. */
    private long promisedUntil = Long.MIN_VALUE;

    Level(QuotaKey key) {
      this.key = key;
    }

    void refill(TokenLimit limit) {
      double gained = (lentSeconds - refilledAt) * limit.perSecond();
      tokens = Math.min(most(key, limit), tokens + gained);
      refilledAt = lentSeconds;
    }

    /** Takes over what another coordinator had left, as far as its lenders are here by now. */
    void takeOver(long at, TokenLimit limit) {
      if (at >= newUntil || at - toldAt > TOLD_NANOS) {
        takenOver = 0;
        return;
      }
      double there = Math.min(told.getOrDefault(key, 0L), most(key, limit));
      if (there > takenOver) {
        tokens = Math.min(most(key, limit), tokens + there - takenOver);
        takenOver = there;
      }
    }

    long whole() {
      return (long) Math.max(0, Math.floor(tokens));
    }

    /** When some more tokens will have refilled, after those that were promised before. */
    long waitFor(long at, double missing, TokenLimit limit) {
      long nanos = (long) (missing / limit.perSecond() * NANOS_PER_SECOND);
      promisedUntil = Math.max(promisedUntil, at) + nanos;
      promisedUntil = Math.min(promisedUntil, at + LONGEST_WAIT_NANOS);
      return promisedUntil - at;
    }
  }

  /**
   * Begins without tokens.
   *
   * @param tolerance by how much quotas of workspaces may be exceeded
   */
  public QuotaPool(QuotaTolerance tolerance) {
    this.tolerance = tolerance;
  }

  /**
   * Grants what an ask may have.
   *
   * @param at now
   * @param node who asks
   * @param ask the ask
   * @param nodes how many nodes there are, by what the coordinator knows
   * @param limits the limit of a quota; empty if it is not known
   * @return the grant; that of before if the ask has come before
   */
  public QuotaGrant ask(
      long at,
      HostName node,
      QuotaAsk ask,
      int nodes,
      Function<QuotaKey, Optional<TokenLimit>> limits) {
    this.nodes = Math.max(1, nodes);
    Answered last = answered.get(node);
    if (last != null && last.epoch() == ask.epoch() && ask.sequence() <= last.sequence()) {
      return last.grant();
    }
    long lent = Math.clamp(ask.lentNanos(), 0, MOST_LENT_NANOS);
    lentSeconds += lent / NANOS_PER_SECOND / Math.max(this.nodes, ask.nodes());
    answered.put(node, new Answered(at, ask.epoch(), ask.sequence(), NOTHING));
    count(at, last == null);
    ImmutableList.Builder<QuotaGrant.Share> shares = ImmutableList.builder();
    for (QuotaAsk.Want want : ask.wants()) {
      limits.apply(want.key()).ifPresent(limit -> shares.add(share(at, want, limit)));
    }
    QuotaGrant grant = new QuotaGrant(ask.epoch(), ask.sequence(), shares.build());
    answered.put(node, new Answered(at, ask.epoch(), ask.sequence(), grant));
    return grant;
  }

  private QuotaGrant.Share share(long at, QuotaAsk.Want want, TokenLimit limit) {
    if (!limit.isLimited()) {
      return new QuotaGrant.Share(want.key(), want.needed(), 0, 0);
    }
    Level level = levels.computeIfAbsent(want.key(), Level::new);
    level.askedAt = at;
    level.tokens += want.returned();
    level.refill(limit);
    level.takeOver(at, limit);
    long granted = granted(level, want);
    level.tokens -= granted;
    long missing = want.needed() - granted;
    long wait = missing > 0 ? level.waitFor(at, (double) (missing - level.whole()), limit) : 0;
    long ahead = missing > 0 ? 0 : ahead(level, want, limit);
    level.tokens -= ahead;
    return new QuotaGrant.Share(want.key(), granted + ahead, level.whole(), wait);
  }

  /** Counts the nodes that lend, at times and when one is new. */
  private void count(long at, boolean isNew) {
    if (isNew) {
      lenders++;
    }
    if (at - countedAt > LENDING_NANOS / 10) {
      countedAt = at;
      answered.values().removeIf(a -> at - a.at() > FORGET_NANOS);
      levels
          .values()
          .removeIf(l -> l.key instanceof QuotaKey.OfUpstream && at - l.askedAt > FORGET_NANOS);
      lenders = (int) answered.values().stream().filter(a -> at - a.at() <= LENDING_NANOS).count();
    }
    if (lenders < FEW * nodes) {
      newUntil = at + NEW_NANOS;
    }
  }

  private double most(QuotaKey key, TokenLimit limit) {
    double saved = key.tolerance(tolerance).saved(limit);
    return Math.max(key.unit(), saved * Math.min(1.0, (double) lenders / nodes));
  }

  private static long granted(Level level, QuotaAsk.Want want) {
    long there = level.whole();
    return there < want.least() ? 0 : Math.min(there, want.needed());
  }

  private long ahead(Level level, QuotaAsk.Want want, TokenLimit limit) {
    long unit = want.key().unit();
    long most = Math.min(want.ahead(), (long) (PLENTY * level.tokens));
    return level.tokens > PLENTY * most(want.key(), limit) ? most - most % unit : 0;
  }

  /** What is left of each quota, for the node that would take over. */
  public QuotaLevels levels() {
    ImmutableMap.Builder<QuotaKey, Long> left = ImmutableMap.builder();
    levels.forEach((key, level) -> left.put(key, level.whole()));
    return new QuotaLevels(left.buildOrThrow());
  }

  /** Notes what a coordinator has left, in case that it ends. */
  public void heard(long at, QuotaLevels levels) {
    told = levels.left();
    toldAt = at;
  }

  /** Forgets everything: another node is the coordinator now. */
  public void clear() {
    levels.clear();
    answered.clear();
    lentSeconds = 0;
    lenders = 0;
  }

  /** The tokens that are left of a quota. */
  public long left(QuotaKey key, TokenLimit limit) {
    Level level = levels.get(key);
    if (level == null) {
      return (long) Math.min(most(key, limit), lentSeconds * limit.perSecond());
    }
    level.refill(limit);
    return level.whole();
  }
}
