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
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.larkkeel.lib.RequestId;

/**
 * The tokens that this node holds of each quota, and the calls that wait for some of them.
 *
 * <p>Invariants: each moment of this node's time is either lent with one request, or spent here, or
 * lost; a call takes its tokens once and returns them at most once; tokens that are reserved and
 * not spent soon are returned or expire, so that they can not accumulate. Not safe for use by
 * several threads.
 *
 * @since 0.1
 */
public final class QuotaHolder {
  /** The maximum time for which a call waits for the coordinator; then this node decides alone. */
  public static final long WAIT_NANOS = 250_000_000L;

  private static final double NANOS_PER_SECOND = 1e9;

  /** The time after the last grant from which this node counts as having no coordinator. */
  private static final long ALONE_NANOS = 700_000_000L;

  /** The time after which an unanswered request is sent again. */
  public static final long RESEND_NANOS = 40_000_000L;

  /**
   * The time without an answer after which the coordinator counts as unresponsive for waiting
   * calls.
   */
  private static final long INACTIVITY_NANOS = 120_000_000L;

  /** The minimum interval between two requests for tokens that no call waits for. */
  private static final long MIN_INTERVAL_NANOS = 100_000_000L;

  /**
   * The maximum Retry-After of calls that this node refuses alone: by then their callers may use a
   * node that reaches the coordinator.
   */
  private static final long MAX_RETRY_AFTER_ALONE_NANOS = 1_000_000_000L;

  /** The time after which unused reserved tokens expire. */
  private static final long RESERVED_EXPIRY_NANOS = 1_000_000_000L;

  private final QuotaTolerance tolerance;
  private final long epoch;
  private final SplittableRandom random;
  private final Map<QuotaKey, QuotaAccount> accounts = new HashMap<>();
  private int nodes = 1;
  private boolean nodesKnown = true;
  private long sequence;
  private Optional<QuotaRequest> openRequest = Optional.empty();
  private long sentAt;
  private long openedAt;
  private long grantedAt;

  /** The time up to which this node's time has been lent or spent. */
  private long accountedAt;

  /** The total time that was spent here, divided by the number of nodes at that time. */
  private double ownSeconds;

  /** The decision about a call. */
  public sealed interface Decision {
    /**
     * The call has its tokens.
     *
     * @param left the tokens of the quota that this node still holds
     */
    record Granted(long left) implements Decision {}

    /** The call waits for the coordinator. */
    record Pending() implements Decision {}

    /**
     * The call exceeds the quota.
     *
     * @param waitNanos the delay after which it may be retried; 0 if it always exceeds the quota
     */
    record Refused(long waitNanos) implements Decision {}
  }

  /** The decision that ends a call's wait. */
  public record Outcome(RequestId call, Decision decision) {}

  /**
   * Creates a holder without tokens.
   *
   * @param tolerance the tolerance by which quotas of workspaces may be exceeded
   * @param epoch the process epoch, which differs from those of earlier processes of this node
   * @param at the current time
   */
  public QuotaHolder(QuotaTolerance tolerance, long epoch, long at) {
    this.tolerance = tolerance;
    this.epoch = epoch;
    this.random = new SplittableRandom(epoch);
    this.grantedAt = at;
    this.accountedAt = at;
  }

  /** Sets the number of nodes, including this one. */
  public void nodes(long at, int count) {
    spendOwnTime(at);
    nodes = Math.max(1, count);
  }

  /**
   * Sets whether the list of all nodes has been read. Until then this node may know few of them, so
   * that its share would be too large: it neither lends nor spends its time, and has no debt.
   */
  public void nodesKnown(long at, boolean known) {
    spendOwnTime(at);
    nodesKnown = known;
  }

  /** Returns whether this node has not reached the coordinator for some time. */
  public boolean isAlone(long at) {
    return at - grantedAt > ALONE_NANOS;
  }

  /** Returns the time since the last answer of the coordinator, in nanoseconds. */
  public long ageNanos(long at) {
    return at - grantedAt;
  }

  /**
   * Takes tokens for a call.
   *
   * @param at the current time
   * @param call identifies the call in outcomes
   * @param key the quota
   * @param limit the limit of the quota; it must be limited
   * @param tokens the number of tokens
   * @param maxWaitNanos the maximum time for which the call can wait for tokens to refill
   * @param rank the rank of the call; among several ranks, a call that the held tokens cover does
   *     not wait for others
   */
  public Decision take(
      long at,
      RequestId call,
      QuotaKey key,
      TokenLimit limit,
      long tokens,
      long maxWaitNanos,
      QuotaRank rank) {
    QuotaAccount a = account(at, key, limit);
    a.usedAt = at;
    if (tokens > tolerance(a).maxLevel(limit)) {
      return new Decision.Refused(0);
    }
    if (a.held >= tokens && (a.waiting.isEmpty() || rank.isOneOfSeveral())) {
      return a.grant(tokens);
    }
    if (isAlone(at)) {
      return decideAlone(a, tokens);
    }
    OptionalLong wait = a.knownWait(at, tokens, maxWaitNanos, rank);
    if (wait.isPresent()) {
      return new Decision.Refused(wait.getAsLong());
    }
    a.add(new QuotaAccount.Waiting(call, tokens, at + maxWaitNanos, rank));
    return new Decision.Pending();
  }

  /**
   * Returns the wait with which {@link #take} would refuse a call now because of the coordinator's
   * last answer; empty if it would decide otherwise. Changes no state.
   */
  public OptionalLong knownWait(
      long at, QuotaKey key, TokenLimit limit, long tokens, long maxWaitNanos, QuotaRank rank) {
    QuotaAccount a = accounts.get(key);
    boolean known =
        a != null
            && a.limit.equals(limit)
            && a.held < tokens
            && tokens <= tolerance(a).maxLevel(limit)
            && !isAlone(at);
    return known ? a.knownWait(at, tokens, maxWaitNanos, rank) : OptionalLong.empty();
  }

  /**
   * Returns whether enough tokens are held for a request that is to be sent now. If not, they are
   * requested from the coordinator; meanwhile the caller of this method uses another upstream or
   * waits.
   */
  public boolean ensureHeld(long at, QuotaKey key, TokenLimit limit, long tokens) {
    QuotaAccount a = account(at, key, limit);
    a.usedAt = at;
    if (a.held >= tokens) {
      return true;
    }
    a.demanded = tokens;
    a.demandedAt = at;
    return false;
  }

  /** Takes tokens that {@link #ensureHeld} has found to be held. */
  public void spend(QuotaKey key, long tokens) {
    QuotaAccount a = accounts.get(key);
    if (a != null) {
      a.held -= tokens;
    }
  }

  /**
   * Returns the time at which the missing tokens will have refilled, according to the coordinator's
   * last answer; a time in the past if unknown.
   */
  public long refillsAt(QuotaKey key) {
    QuotaAccount a = accounts.get(key);
    return a == null ? Long.MIN_VALUE : a.requestFrom;
  }

  /** Removes a quota that no longer exists. */
  public void remove(QuotaKey key) {
    accounts.remove(key);
  }

  private Decision decideAlone(QuotaAccount a, long tokens) {
    double overdraft = nodesKnown ? tolerance(a).overdraft(a.limit, nodes) : 0;
    double available = a.held + overdraft;
    double missing = tokens - available;
    // Admits a larger call with a probability that keeps the mean rate of tokens the same.
    if (missing <= 0 || (a.held >= 0 && random.nextDouble() * tokens < available)) {
      return a.grant(tokens);
    }
    double rate = (double) a.limit.perSecond() / nodes;
    long refill = (long) (missing / rate * NANOS_PER_SECOND);
    return new Decision.Refused(Math.min(refill, MAX_RETRY_AFTER_ALONE_NANOS));
  }

  /**
   * Decides about a call whose wait has reached its maximum, alone if the coordinator is
   * unresponsive; empty if the call no longer waits.
   */
  public Optional<Decision> decideWaiting(long at, RequestId call, QuotaKey key) {
    QuotaAccount a = accounts.get(key);
    Optional<QuotaAccount.Waiting> found =
        a == null
            ? Optional.empty()
            : a.waiting.stream().filter(w -> w.call().equals(call)).findFirst();
    return found.map(
        w -> {
          a.waiting.remove(w);
          refill(at, a);
          return isCoordinatorUnresponsive(at)
              ? decideAlone(a, w.tokens())
              : new Decision.Refused(Math.max(1, a.waitNanos));
        });
  }

  /** Returns whether the coordinator is unresponsive. */
  public boolean isCoordinatorUnresponsive(long at) {
    return isAlone(at) || (openRequest.isPresent() && at - openedAt >= INACTIVITY_NANOS);
  }

  /** Returns whether calls wait for tokens. */
  public boolean hasWaiting() {
    return accounts.values().stream().anyMatch(a -> !a.waiting.isEmpty());
  }

  /** Removes a waiting call that has ended. */
  public void abandon(RequestId call, QuotaKey key) {
    QuotaAccount a = accounts.get(key);
    if (a != null) {
      a.waiting.removeIf(w -> w.call().equals(call));
    }
  }

  /** Adds back the tokens of a call that no upstream has run. */
  public void refund(QuotaKey key, long tokens) {
    QuotaAccount a = accounts.get(key);
    if (a != null) {
      a.held += tokens;
    }
  }

  private QuotaAccount account(long at, QuotaKey key, TokenLimit limit) {
    QuotaAccount a = accounts.computeIfAbsent(key, k -> new QuotaAccount(k, ownSeconds));
    a.limit = limit;
    if (isUpstreamQuota(a) && at - a.usedAt > RESERVED_EXPIRY_NANOS) {
      a.held = Math.min(a.held, 0);
    }
    refill(at, a);
    return a;
  }

  /** Converts this node's own time since it lost the coordinator into tokens. */
  private void refill(long at, QuotaAccount a) {
    spendOwnTime(at);
    double gained = roundToUnits(a, (ownSeconds - a.refilledAt) * a.limit.perSecond());
    a.refilledAt = ownSeconds;
    if (gained > 0) {
      double max = Math.max((double) ahead(a), (double) a.limit.burst() / nodes);
      max = Math.max(max, a.key.unit());
      a.held = Math.max(a.held, Math.min(max, a.held + gained));
    }
  }

  /**
   * Rounds gained tokens to complete units. The fraction of a unit is rounded up with a probability
   * equal to it, so that the mean is right for any number of nodes. Gains beyond the share of one
   * second are dropped because they would be out of date.
   */
  private double roundToUnits(QuotaAccount a, double gained) {
    long unit = a.key.unit();
    if (unit == 1) {
      return gained;
    }
    double units = Math.min(gained, (double) a.limit.perSecond() / nodes) / unit;
    double fraction = units - Math.floor(units);
    return unit * (Math.floor(units) + (random.nextDouble() < fraction ? 1 : 0));
  }

  private static boolean isUpstreamQuota(QuotaAccount a) {
    return a.key instanceof QuotaKey.OfUpstream;
  }

  private QuotaTolerance tolerance(QuotaAccount a) {
    return a.key.tolerance(tolerance);
  }

  private void spendOwnTime(long at) {
    if (isAlone(at)) {
      if (nodesKnown) {
        ownSeconds += Math.max(0, at - accountedAt) / NANOS_PER_SECOND / nodes;
      }
      accountedAt = at;
    }
  }

  private long ahead(QuotaAccount a) {
    long ahead = tolerance(a).ahead(a.limit, nodes);
    return ahead - ahead % a.key.unit();
  }

  /**
   * Returns the request to send now, if one is due: a new one, or the last one again if it was not
   * answered.
   *
   * @param at the current time
   * @param heartbeat true if a request is due in any case
   */
  public Optional<QuotaRequest> nextRequest(long at, boolean heartbeat) {
    if (openRequest.isPresent()) {
      if (at - sentAt < RESEND_NANOS) {
        return Optional.empty();
      }
      sentAt = at;
      return openRequest;
    }
    ImmutableList<QuotaRequest.Demand> demands = demands(at);
    if (demands.isEmpty() && !heartbeat) {
      return Optional.empty();
    }
    spendOwnTime(at);
    final long lent = nodesKnown ? Math.max(0, at - accountedAt) : 0;
    accountedAt = at;
    sentAt = at;
    openedAt = at;
    openRequest = Optional.of(new QuotaRequest(epoch, ++sequence, lent, nodes, demands));
    return openRequest;
  }

  private ImmutableList<QuotaRequest.Demand> demands(long at) {
    ImmutableList.Builder<QuotaRequest.Demand> demands = ImmutableList.builder();
    for (Iterator<Map.Entry<QuotaKey, QuotaAccount>> i = accounts.entrySet().iterator();
        i.hasNext(); ) {
      Map.Entry<QuotaKey, QuotaAccount> entry = i.next();
      QuotaAccount a = entry.getValue();
      boolean idle = a.isIdle(at);
      if (idle && a.held == 0) {
        i.remove();
      } else {
        demand(at, entry.getKey(), a, idle).ifPresent(demands::add);
      }
    }
    return demands.build();
  }

  private Optional<QuotaRequest.Demand> demand(
      long at, QuotaKey key, QuotaAccount a, boolean idle) {
    long keep = idle ? 0 : ahead(a);
    boolean inUse =
        !a.waiting.isEmpty() || (isUpstreamQuota(a) && at - a.usedAt <= QuotaAccount.DEMAND_NANOS);
    long returned = !inUse && a.held > keep ? (long) a.held - keep : 0;
    long needed = a.needed(at);
    if (at < a.requestFrom) {
      return Optional.empty();
    }
    boolean low = keep > 0 && a.held < keep / 2.0;
    if (idle && returned == 0) {
      a.held = Math.min(a.held, 0);
    }
    if (returned == 0 && needed == 0 && !low) {
      return Optional.empty();
    }
    if (!a.isUrgent(at) && at - a.requestedAt < MIN_INTERVAL_NANOS) {
      return Optional.empty();
    }
    a.requestedAt = at;
    a.held -= returned;
    long missingAhead = low ? (long) (keep - Math.max(0, a.held)) : 0;
    return Optional.of(
        a.requested(new QuotaRequest.Demand(key, needed, a.minUseful(at), missingAhead, returned)));
  }

  /**
   * Applies a grant.
   *
   * @return the decisions about the calls that waited for it
   */
  public ImmutableList<Outcome> granted(long at, QuotaGrant grant) {
    if (grant.epoch() != epoch || grant.sequence() != openRequestSequence()) {
      return ImmutableList.of();
    }
    openRequest = Optional.empty();
    grantedAt = at;
    ImmutableList.Builder<Outcome> outcomes = ImmutableList.builder();
    for (QuotaGrant.Share share : grant.shares()) {
      QuotaAccount a = accounts.get(share.key());
      if (a != null) {
        a.granted(at, share, outcomes);
      }
    }
    return outcomes.build();
  }

  private long openRequestSequence() {
    return openRequest.map(QuotaRequest::sequence).orElse(0L);
  }

  /**
   * Drops the open request because another node is the coordinator now; the time lent with it is
   * lost.
   */
  public void coordinatorChanged() {
    openRequest = Optional.empty();
  }

  /**
   * Drops the held tokens and the elapsed time after a suspension of the machine, as both are out
   * of date.
   */
  public void resumed(long at) {
    openRequest = Optional.empty();
    accountedAt = at;
    accounts.values().forEach(a -> a.held = Math.min(0, a.held));
  }

  /** Returns the tokens held of a quota; negative for a debt. */
  public long held(QuotaKey key) {
    QuotaAccount a = accounts.get(key);
    return a == null ? 0 : (long) a.held;
  }
}
