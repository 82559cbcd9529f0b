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
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.quota.QuotaKey;
import org.larkkeel.quota.TokenLimit;
import org.larkkeel.relay.RateChange;
import org.larkkeel.relay.RateNotice;
import org.larkkeel.relay.RateUse;
import org.larkkeel.relay.RateWord;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RequestRate;

/**
 * Holds requests to the limits that upstreams name, over all nodes.
 *
 * <p>A request to an upstream with a limit needs a permit, which is a request's worth of that
 * upstream's quota. One that finds none asks for it and goes elsewhere or waits. Invariant: each
 * send to an upstream that is known to have a limit takes a permit, and none is used twice. Not
 * safe for use by several threads.
 */
final class UpstreamRates {
  private static final double NANOS_PER_SECOND = 1e9;

  /** The most upstreams of which other nodes are told at a time. */
  private static final int MOST_WORDS = 64;

  private final HeldQuotas held;
  private final Function<UpstreamLife, Optional<UpstreamState>> find;
  private final Consumer<RelayFact> report;

  /** Those that have a limit, or had one a moment ago. */
  private final Set<UpstreamState> news = new LinkedHashSet<>();

  /**
   * Begins without limits.
   *
   * @param held what this node holds of quotas
   * @param find finds a life of an upstream that is known
   * @param report gets what changes
   */
  UpstreamRates(
      HeldQuotas held,
      Function<UpstreamLife, Optional<UpstreamState>> find,
      Consumer<RelayFact> report) {
    this.held = held;
    this.find = find;
    this.report = report;
  }

  /** An answer says something of the limit; says whether the limit has ended. */
  boolean noticed(long at, UpstreamState s, long sentAt, RateNotice notice) {
    return change(s, at - sentAt, "answer", rate -> rate.noticed(sentAt, at, notice));
  }

  /** Another node tells of limits; says whether one has ended. */
  boolean heard(long at, ImmutableList<RateWord> words) {
    boolean ended = false;
    for (RateWord word : words) {
      Optional<UpstreamState> s = find.apply(word.life());
      ended |=
          s.isPresent() && change(s.get(), word.ageNanos(), "node", rate -> rate.heard(at, word));
    }
    return ended;
  }

  private boolean change(
      UpstreamState s, long age, String source, Function<RateBelief, Optional<RateChange>> apply) {
    final Optional<RequestRate> before = s.rate().limit();
    Optional<RateChange> change = apply.apply(s.rate());
    if (change.isEmpty()) {
      return false;
    }
    news.add(s);
    report.accept(
        new RelayFact.RateLimit(s.life(), change.get(), before, s.rate().limit(), source, age));
    boolean ended = change.get() == RateChange.LIFTED;
    if (ended) {
      held.forget(key(s));
    }
    return ended;
  }

  /** What other nodes are to know. */
  ImmutableList<RateWord> words(long at) {
    if (news.isEmpty()) {
      return ImmutableList.of();
    }
    prune(at);
    return news.stream()
        .limit(MOST_WORDS)
        .map(s -> s.rate().word(at, s.life()))
        .collect(ImmutableList.toImmutableList());
  }

  /** The limits that hold, and how much this node has used of each. */
  ImmutableList<RateUse> uses(long at) {
    return news.stream()
        .flatMap(s -> s.rate().use(at, s.life()).stream())
        .collect(ImmutableList.toImmutableList());
  }

  /** Forgets limits that ended some time ago, and those of lives that are over. */
  private void prune(long at) {
    for (Iterator<UpstreamState> i = news.iterator(); i.hasNext(); ) {
      UpstreamState s = i.next();
      boolean isOver = find.apply(s.life()).isEmpty();
      if (isOver) {
        held.forget(key(s));
      }
      if (isOver || !s.rate().isNews(at)) {
        i.remove();
      }
    }
  }

  /** Whether an upstream has a limit, or had one a moment ago, so that each answer counts. */
  boolean isLimited(UpstreamLife life) {
    return !news.isEmpty() && find.apply(life).map(news::contains).orElse(false);
  }

  /** Whether any upstream has a limit. */
  boolean haveLimits() {
    return !news.isEmpty();
  }

  /** The limit of an upstream; empty if the upstream is not known. */
  Optional<TokenLimit> limit(UpstreamLife life) {
    return find.apply(life)
        .map(s -> s.rate().limit().map(UpstreamRates::limit).orElse(TokenLimit.NONE));
  }

  private static TokenLimit limit(RequestRate rate) {
    return new TokenLimit(rate.thousandths(), QuotaKey.OfUpstream.REQUEST);
  }

  /** Whether a request may be sent now; if not, a permit is asked for. */
  boolean hasPermit(long at, UpstreamState s) {
    Optional<RequestRate> rate = s.rate().limit();
    return rate.isEmpty()
        || held.reserve(at, key(s), limit(rate.get()), QuotaKey.OfUpstream.REQUEST);
  }

  /** A request is sent. */
  void spend(UpstreamState s) {
    if (s.rate().limit().isPresent()) {
      held.spend(key(s), QuotaKey.OfUpstream.REQUEST);
      s.rate().countSend();
    }
  }

  /**
   * When this node may have a permit for an upstream that has a limit: as the coordinator has said;
   * now if it is about to say so; after the mean time between two if it is silent. Empty if there
   * is no limit.
   */
  OptionalLong permitAt(long at, UpstreamState s) {
    Optional<RequestRate> rate = s.rate().limit();
    if (rate.isEmpty()) {
      return OptionalLong.empty();
    }
    long refills = held.refillsAt(key(s));
    if (refills > at) {
      return OptionalLong.of(refills);
    }
    long mean = (long) (NANOS_PER_SECOND / rate.get().perSecond());
    return OptionalLong.of(held.at(at).isSilent(at) ? at + mean : at);
  }

  private static QuotaKey key(UpstreamState s) {
    return new QuotaKey.OfUpstream(s.life());
  }
}
