/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.quota.QuotaGrant;
import org.larkkeel.quota.QuotaHolder;
import org.larkkeel.quota.QuotaKey;
import org.larkkeel.quota.QuotaRank;
import org.larkkeel.quota.QuotaRequest;
import org.larkkeel.quota.TokenLimit;
import org.larkkeel.relay.QuotaOutcome;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelayRule;
import org.larkkeel.relay.RelayWorkspace;

/**
 * Enforces the quotas of workspaces before any work is spent on their calls.
 *
 * <p>Invariant: the tokens of a call that no upstream has run are returned once, when the call
 * ends. Not thread-safe.
 */
final class Quotas {
  private static final double MILLI = 1e6;

  /** The share of a call's target for which it may wait for tokens to refill. */
  private static final double MAX_WAIT_SHARE = 0.4;

  /** The share of the Retry-After over which callers that get the same time are spread. */
  static final double RETRY_AFTER_SPREAD = 0.25;

  private final Timers timers;
  private final SplittableRandom random;
  private final HeldQuotas heldQuotas;
  private final UpstreamRateLimits rateLimits;
  private final Calls calls;

  /** Access to the calls. */
  interface Calls {
    /** Returns the configuration in force; null if there is none. */
    RelayConfiguration configuration();

    /** Returns the call of an outcome, if it has not ended. */
    Optional<CallState> find(QuotaHolder.Outcome outcome);

    /** Continues with a call that is within its quota. */
    void admitted(long at, CallState c);

    /** Continues with calls that wait for a permit for their upstreams. */
    void permitsGranted(long at);

    /** Refuses a call that is not within its quota. */
    void refuse(long at, CallState c, ErrorKind kind, long retryAfterMillis, String detail);
  }

  private final Consumer<RelayEffect> effects;

  Quotas(
      Timers timers,
      SplittableRandom random,
      HeldQuotas heldQuotas,
      UpstreamRateLimits rateLimits,
      Calls calls,
      Consumer<RelayEffect> effects) {
    this.timers = timers;
    this.random = random;
    this.heldQuotas = heldQuotas;
    this.rateLimits = rateLimits;
    this.calls = calls;
    this.effects = effects;
  }

  /** Continues with a call, lets it wait for tokens, or refuses it. */
  void admit(long at, CallState c) {
    Optional<RelayWorkspace> limitedWorkspace = c.workspace.filter(w -> w.limit().isLimited());
    if (limitedWorkspace.isEmpty()) {
      calls.admitted(at, c);
      return;
    }
    RelayWorkspace w = limitedWorkspace.get();
    c.quotaKey = new QuotaKey.OfWorkspace(w.name());
    c.quotaTokens = w.cost(c.call.size());
    boolean alone = heldQuotas.holderAt(at).isAlone(at);
    applyDecision(
        at,
        c,
        heldQuotas
            .holderAt(at)
            .take(
                at,
                c.call.id(),
                c.quotaKey,
                w.limit(),
                c.quotaTokens,
                maxWaitNanos(c.rule),
                rank(calls.configuration(), c.rule)),
        alone);
  }

  /** Returns the maximum time for which a call of a rule may wait for tokens to refill. */
  static long maxWaitNanos(RelayRule rule) {
    return (long) (MAX_WAIT_SHARE * (rule.targetMillis() * MILLI));
  }

  /**
   * Returns the rank of a call of a rule within the quota of its workspace. The workspace's own
   * priority is the same for all its calls.
   */
  static QuotaRank rank(RelayConfiguration configuration, RelayRule rule) {
    OptionalInt mostUrgent = configuration.mostUrgentPriority();
    if (mostUrgent.isEmpty()) {
      return QuotaRank.ONLY;
    }
    boolean urgent = rule.priority() == mostUrgent.getAsInt();
    return new QuotaRank(rule.priority(), urgent ? QuotaRank.Group.URGENT : QuotaRank.Group.OTHER);
  }

  private void applyDecision(long at, CallState c, QuotaHolder.Decision decision, boolean alone) {
    switch (decision) {
      case QuotaHolder.Decision.Pending d -> {
        c.awaitsQuota = true;
        long maxWait = Math.max(QuotaHolder.WAIT_NANOS, maxWaitNanos(c.rule));
        timers.add(new Timers.Timer.QuotaTimeout(at + maxWait, c.call.id()));
      }
      case QuotaHolder.Decision.Granted d -> {
        c.holdsQuota = true;
        report(at, c, alone ? QuotaOutcome.GRANTED_ALONE : QuotaOutcome.GRANTED, d.left(), 0);
        calls.admitted(at, c);
      }
      case QuotaHolder.Decision.Refused d -> refuse(at, c, d.waitNanos(), alone);
    }
  }

  private void refuse(long at, CallState c, long waitNanos, boolean alone) {
    WorkspaceName name = c.quotaKey.workspace();
    QuotaOutcome outcome = alone ? QuotaOutcome.REFUSED_ALONE : QuotaOutcome.REFUSED;
    report(at, c, outcome, heldQuotas.holderAt(at).held(c.quotaKey), waitNanos);
    double spread = 1 + RETRY_AFTER_SPREAD * random.nextDouble();
    long millis = waitNanos == 0 ? 0 : 1 + (long) (waitNanos / MILLI * spread);
    String detail =
        waitNanos == 0
            ? "the request takes " + c.quotaTokens + " tokens, more than the burst of " + name
            : "the quota of " + name + " is used up";
    calls.refuse(at, c, ErrorKind.WORKSPACE_LIMIT, millis, detail);
  }

  /** Handles a grant of the quota coordinator. */
  void granted(long at, QuotaGrant grant) {
    for (QuotaHolder.Outcome outcome : heldQuotas.holderAt(at).granted(at, grant)) {
      calls.find(outcome).ifPresent(c -> waitEnded(at, c, outcome.decision(), false));
    }
    if (rateLimits.hasLimits()) {
      calls.permitsGranted(at);
    }
  }

  private void waitEnded(long at, CallState c, QuotaHolder.Decision decision, boolean alone) {
    c.awaitsQuota = false;
    applyDecision(at, c, decision, alone);
  }

  /** Handles the end of a call's maximum wait for the quota coordinator. */
  void waitTimedOut(long at, CallState c) {
    if (c.awaitsQuota) {
      heldQuotas
          .holderAt(at)
          .decideWaiting(at, c.call.id(), c.quotaKey)
          .ifPresent(
              d -> waitEnded(at, c, d, heldQuotas.holderAt(at).isCoordinatorUnresponsive(at)));
    }
  }

  /** Handles the end of a call: returns its tokens if no upstream may have run it. */
  void remove(CallState c) {
    if (c.awaitsQuota) {
      c.awaitsQuota = false;
      heldQuotas.existingHolder().abandon(c.call.id(), c.quotaKey);
    }
    if (c.holdsQuota) {
      c.holdsQuota = false;
      if (c.runCount == 0) {
        heldQuotas.existingHolder().refund(c.quotaKey, c.quotaTokens);
      }
    }
  }

  /** Handles a change of the quota coordinator. */
  void coordinatorChanged(long at) {
    heldQuotas.holderAt(at).coordinatorChanged();
  }

  /** Handles a resume of the machine after a suspension. */
  void resumed(long at) {
    if (heldQuotas.hasHolder()) {
      heldQuotas.holderAt(at).resumed(at);
    }
  }

  /**
   * Returns the request to send to the quota coordinator now; empty if none is due.
   *
   * @param at now
   * @param heartbeat whether a request is due in any case while there are quotas
   */
  Optional<QuotaRequest> request(long at, boolean heartbeat) {
    RelayConfiguration configuration = calls.configuration();
    boolean limited = configuration != null && configuration.workspaces().hasLimits();
    if (!limited && !rateLimits.hasLimits()) {
      return Optional.empty();
    }
    return heldQuotas.holderAt(at).nextRequest(at, heartbeat);
  }

  /** Returns whether calls wait for tokens. */
  boolean hasWaiting() {
    return heldQuotas.hasHolder() && heldQuotas.existingHolder().hasWaiting();
  }

  /** Returns the limit of a quota; empty if there is no such workspace or upstream. */
  Optional<TokenLimit> limit(QuotaKey key) {
    return switch (key) {
      case QuotaKey.OfWorkspace w -> limit(w.workspace());
      case QuotaKey.OfUpstream u -> rateLimits.limit(u.upstream());
    };
  }

  private Optional<TokenLimit> limit(WorkspaceName workspace) {
    return Optional.ofNullable(calls.configuration())
        .flatMap(c -> c.workspaces().find(workspace))
        .map(RelayWorkspace::limit);
  }

  private void report(long at, CallState c, QuotaOutcome outcome, long left, long waitNanos) {
    effects.accept(
        new RelayEffect.Report(
            new RelayFact.QuotaDecided(
                c.call.wireId(),
                c.quotaKey.workspace(),
                calls.configuration().revision(),
                c.quotaTokens,
                outcome,
                left,
                heldQuotas.holderAt(at).ageNanos(at),
                waitNanos)));
  }
}
