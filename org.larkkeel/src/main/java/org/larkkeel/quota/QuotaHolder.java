/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.quota;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.larkkeel.lib.RequestId;

/**
 * The tokens that this node holds of each quota, and the calls that wait for some.
 *
 * <p>Invariants: this node's time is either lent with one ask, or spent here, or lost; a call gets
 * its tokens once and gives them back at most once; what is reserved and not spent soon is given
 * back or lapses, so that it can not be saved up. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class QuotaHolder {
  /** How long a call waits for the coordinator; after that, this node decides by itself. */
  public static final long WAIT_NANOS = 250_000_000L;

  private static final double NANOS_PER_SECOND = 1e9;

  /** How long after the last grant this node counts as without coordinator. */
  private static final long ALONE_NANOS = 700_000_000L;

  /** The time after which an ask without an answer is sent again. */
  public static final long RESEND_NANOS = 40_000_000L;

  /** How long what the coordinator has said to have left is used to refuse calls at once. */
  private static final long FRESH_NANOS = 50_000_000L;

  /** The time after which the coordinator counts as silent for calls that wait. */
  private static final long SILENT_NANOS = 120_000_000L;

  /** The least time between two asks that no call waits for. */
  private static final long UNHURRIED_NANOS = 100_000_000L;

  /** After this time at most a caller comes back, as other nodes may reach the coordinator. */
  private static final long LONGEST_ALONE_NANOS = 1_000_000_000L;

  /** How long reserved tokens are of use. */
  private static final long RESERVED_NANOS = 1_000_000_000L;

  private final QuotaTolerance tolerance;
  private final long epoch;
  private final SplittableRandom random;
  private final Map<QuotaKey, QuotaAccount> accounts = new HashMap<>();
  private int nodes = 1;
  private long sequence;
  private Optional<QuotaAsk> open = Optional.empty();
  private long sentAt;
  private long openedAt;
  private long grantedAt;

  /** Up to when this node's time has been lent or spent. */
  private long accountedAt;

  /** The time that was spent here since the beginning, divided by the nodes. */
  private double ownSeconds;

  /** What becomes of a call. */
  public sealed interface Decision {
    /** It has its tokens, of which so many were left here. */
    record Granted(long left) implements Decision {}

    /** It waits for the coordinator. */
    record Waits() implements Decision {}

    /** It is beyond the quota; 0 if it always will be. */
    record Refused(long waitNanos) implements Decision {}
  }

  /** The end of a call's wait. */
  public record Outcome(RequestId call, Decision decision) {}

  /**
   * Begins without tokens.
   *
   * @param tolerance by how much quotas of workspaces may be exceeded
   * @param epoch differs from that of earlier processes of this node
   * @param at now
   */
  public QuotaHolder(QuotaTolerance tolerance, long epoch, long at) {
    this.tolerance = tolerance;
    this.epoch = epoch;
    this.random = new SplittableRandom(epoch);
    this.grantedAt = at;
    this.accountedAt = at;
  }

  /** Sets how many nodes there are, this one included. */
  public void nodes(long at, int count) {
    spendOwnTime(at);
    nodes = Math.max(1, count);
  }

  /** Whether this node has not reached the coordinator for some time. */
  public boolean isAlone(long at) {
    return at - grantedAt > ALONE_NANOS;
  }

  /** How old what the coordinator has said is, in nanoseconds. */
  public long age(long at) {
    return at - grantedAt;
  }

  /**
   * Takes tokens for a call.
   *
   * @param at now
   * @param call names the call in outcomes
   * @param key which quota
   * @param limit the limit, which must be one
   * @param tokens how many
   * @param longestNanos how long the call can wait for tokens to refill
   */
  public Decision take(
      long at, RequestId call, QuotaKey key, TokenLimit limit, long tokens, long longestNanos) {
    QuotaAccount a = account(at, key, limit);
    a.usedAt = at;
    if (tokens > tolerance(a).saved(limit)) {
      return new Decision.Refused(0);
    }
    if (a.waiting.isEmpty() && a.held >= tokens) {
      return grant(a, tokens);
    }
    if (isAlone(at)) {
      return decideAlone(a, tokens);
    }
    long sinceLeft = at - a.leftAt;
    if (sinceLeft < FRESH_NANOS && tokens > a.left && a.waitNanos - sinceLeft > longestNanos) {
      return new Decision.Refused(a.waitNanos - sinceLeft);
    }
    a.waiting.add(new QuotaAccount.Waiting(call, tokens, at + longestNanos));
    return new Decision.Waits();
  }

  /**
   * Whether tokens are held for a request that is to be sent now. If not, they are asked for, and
   * the request goes elsewhere or waits.
   */
  public boolean reserve(long at, QuotaKey key, TokenLimit limit, long tokens) {
    QuotaAccount a = account(at, key, limit);
    a.usedAt = at;
    if (a.held >= tokens) {
      return true;
    }
    a.wanted = tokens;
    a.wantedAt = at;
    return false;
  }

  /** Takes tokens that were found to be held by {@link #reserve}. */
  public void spend(QuotaKey key, long tokens) {
    QuotaAccount a = accounts.get(key);
    if (a != null) {
      a.held -= tokens;
    }
  }

  /** When tokens will have refilled, by what the coordinator has said last; past if unknown. */
  public long refillsAt(QuotaKey key) {
    QuotaAccount a = accounts.get(key);
    return a == null ? Long.MIN_VALUE : a.askFrom;
  }

  /** Forgets a quota that is none any more. */
  public void forget(QuotaKey key) {
    accounts.remove(key);
  }

  private static Decision grant(QuotaAccount a, long tokens) {
    a.held -= tokens;
    return new Decision.Granted((long) a.held);
  }

  private Decision decideAlone(QuotaAccount a, long tokens) {
    double there = a.held + tolerance(a).overdraft(a.limit, nodes);
    double missing = tokens - there;
    // A call that is larger is admitted as seldom as makes the same on the whole.
    if (missing <= 0 || (a.held >= 0 && random.nextDouble() * tokens < there)) {
      return grant(a, tokens);
    }
    double rate = (double) a.limit.perSecond() / nodes;
    long refill = (long) (missing / rate * NANOS_PER_SECOND);
    return new Decision.Refused(Math.min(refill, LONGEST_ALONE_NANOS));
  }

  /**
   * Decides about a call that has waited for long enough, by itself if the coordinator is silent;
   * empty if it waits no more.
   */
  public Optional<Decision> decideNow(long at, RequestId call, QuotaKey key) {
    QuotaAccount a = accounts.get(key);
    Optional<QuotaAccount.Waiting> found =
        a == null
            ? Optional.empty()
            : a.waiting.stream().filter(w -> w.call().equals(call)).findFirst();
    return found.map(
        w -> {
          a.waiting.remove(w);
          refill(at, a);
          return isSilent(at)
              ? decideAlone(a, w.tokens())
              : new Decision.Refused(Math.max(1, a.waitNanos));
        });
  }

  /** Whether the coordinator has not answered for some time. */
  public boolean isSilent(long at) {
    return isAlone(at) || (open.isPresent() && at - openedAt >= SILENT_NANOS);
  }

  /** Whether calls wait for tokens. */
  public boolean hasWaiting() {
    return accounts.values().stream().anyMatch(a -> !a.waiting.isEmpty());
  }

  /** A call that waits has ended. */
  public void abandon(RequestId call, QuotaKey key) {
    QuotaAccount a = accounts.get(key);
    if (a != null) {
      a.waiting.removeIf(w -> w.call().equals(call));
    }
  }

  /** Takes back the tokens of a call that no upstream has run. */
  public void giveBack(QuotaKey key, long tokens) {
    QuotaAccount a = accounts.get(key);
    if (a != null) {
      a.held += tokens;
    }
  }

  private QuotaAccount account(long at, QuotaKey key, TokenLimit limit) {
    QuotaAccount a = accounts.computeIfAbsent(key, k -> new QuotaAccount(k, ownSeconds));
    a.limit = limit;
    if (isReserved(a) && at - a.usedAt > RESERVED_NANOS) {
      a.held = Math.min(a.held, 0);
    }
    refill(at, a);
    return a;
  }

  /** Turns this node's own time, once it is without coordinator, into tokens. */
  private void refill(long at, QuotaAccount a) {
    spendOwnTime(at);
    double gained = whole(a, (ownSeconds - a.refilledAt) * a.limit.perSecond());
    a.refilledAt = ownSeconds;
    if (gained > 0) {
      double most = Math.max((double) ahead(a), (double) a.limit.burst() / nodes);
      most = Math.max(most, a.key.unit());
      a.held = Math.max(a.held, Math.min(most, a.held + gained));
    }
  }

  /**
   * What was gained, in whole units: the part of one becomes one by chance, so that the mean is
   * kept however many nodes there are. A share of more than a second is of no use any more.
   */
  private double whole(QuotaAccount a, double gained) {
    long unit = a.key.unit();
    if (unit == 1) {
      return gained;
    }
    double units = Math.min(gained, (double) a.limit.perSecond() / nodes) / unit;
    double rest = units - Math.floor(units);
    return unit * (Math.floor(units) + (random.nextDouble() < rest ? 1 : 0));
  }

  private static boolean isReserved(QuotaAccount a) {
    return a.key instanceof QuotaKey.OfUpstream;
  }

  private QuotaTolerance tolerance(QuotaAccount a) {
    return a.key.tolerance(tolerance);
  }

  private void spendOwnTime(long at) {
    if (isAlone(at)) {
      ownSeconds += Math.max(0, at - accountedAt) / NANOS_PER_SECOND / nodes;
      accountedAt = at;
    }
  }

  private long ahead(QuotaAccount a) {
    long ahead = tolerance(a).ahead(a.limit, nodes);
    return ahead - ahead % a.key.unit();
  }

  /**
   * The ask to send now, if one is due: a new one, or the last again if it was not answered.
   *
   * @param at now
   * @param heartbeat whether one is due in any case
   */
  public Optional<QuotaAsk> ask(long at, boolean heartbeat) {
    if (open.isPresent()) {
      if (at - sentAt < RESEND_NANOS) {
        return Optional.empty();
      }
      sentAt = at;
      return open;
    }
    ImmutableList<QuotaAsk.Want> wants = wants(at);
    if (wants.isEmpty() && !heartbeat) {
      return Optional.empty();
    }
    spendOwnTime(at);
    final long lent = Math.max(0, at - accountedAt);
    accountedAt = at;
    sentAt = at;
    openedAt = at;
    open = Optional.of(new QuotaAsk(epoch, ++sequence, lent, nodes, wants));
    return open;
  }

  private ImmutableList<QuotaAsk.Want> wants(long at) {
    ImmutableList.Builder<QuotaAsk.Want> wants = ImmutableList.builder();
    for (Iterator<Map.Entry<QuotaKey, QuotaAccount>> i = accounts.entrySet().iterator();
        i.hasNext(); ) {
      Map.Entry<QuotaKey, QuotaAccount> entry = i.next();
      QuotaAccount a = entry.getValue();
      boolean idle = a.isIdle(at);
      if (idle && a.held == 0) {
        i.remove();
      } else {
        want(at, entry.getKey(), a, idle).ifPresent(wants::add);
      }
    }
    return wants.build();
  }

  private Optional<QuotaAsk.Want> want(long at, QuotaKey key, QuotaAccount a, boolean idle) {
    long keep = idle ? 0 : ahead(a);
    boolean inUse =
        !a.waiting.isEmpty() || (isReserved(a) && at - a.usedAt <= QuotaAccount.WANTED_NANOS);
    long returned = !inUse && a.held > keep ? (long) a.held - keep : 0;
    long needed = a.needed(at);
    if (at < a.askFrom) {
      return Optional.empty();
    }
    boolean low = keep > 0 && a.held < keep / 2.0;
    if (idle && returned == 0) {
      a.held = Math.min(a.held, 0);
    }
    if (returned == 0 && needed == 0 && !low) {
      return Optional.empty();
    }
    if (!a.isUrgent(at) && at - a.askedAt < UNHURRIED_NANOS) {
      return Optional.empty();
    }
    a.askedAt = at;
    a.held -= returned;
    long more = low ? (long) (keep - Math.max(0, a.held)) : 0;
    return Optional.of(new QuotaAsk.Want(key, needed, a.least(at), more, returned));
  }

  /**
   * Takes a grant in.
   *
   * @return what becomes of the calls that waited for it
   */
  public ImmutableList<Outcome> granted(long at, QuotaGrant grant) {
    if (grant.epoch() != epoch || grant.sequence() != openSequence()) {
      return ImmutableList.of();
    }
    open = Optional.empty();
    grantedAt = at;
    ImmutableList.Builder<Outcome> outcomes = ImmutableList.builder();
    for (QuotaGrant.Share share : grant.shares()) {
      QuotaAccount a = accounts.get(share.key());
      if (a != null) {
        a.held += share.tokens();
        a.left = share.left();
        a.leftAt = at;
        a.waitNanos = share.waitNanos();
        a.askFrom = at + share.waitNanos();
        settle(at, a, outcomes);
      }
    }
    return outcomes.build();
  }

  private long openSequence() {
    return open.map(QuotaAsk::sequence).orElse(0L);
  }

  /** Lets those go that have enough, and refuses those that can not wait for the refill. */
  private static void settle(long at, QuotaAccount a, ImmutableList.Builder<Outcome> outcomes) {
    for (Iterator<QuotaAccount.Waiting> i = a.waiting.iterator(); i.hasNext(); ) {
      QuotaAccount.Waiting w = i.next();
      if (a.held >= w.tokens()) {
        outcomes.add(new Outcome(w.call(), grant(a, w.tokens())));
        i.remove();
      } else if (a.waitNanos > 0 && at + a.waitNanos > w.until()) {
        outcomes.add(new Outcome(w.call(), new Decision.Refused(a.waitNanos)));
        i.remove();
      }
    }
  }

  /** Another node is to be asked: what was lent with the open ask is lost. */
  public void coordinatorChanged() {
    open = Optional.empty();
  }

  /** The machine was suspended: what it held and its time since are of no use any more. */
  public void resumed(long at) {
    open = Optional.empty();
    accountedAt = at;
    accounts.values().forEach(a -> a.held = Math.min(0, a.held));
  }

  /** The tokens that are held of a quota; less than 0 for a debt. */
  public long held(QuotaKey key) {
    QuotaAccount a = accounts.get(key);
    return a == null ? 0 : (long) a.held;
  }
}
