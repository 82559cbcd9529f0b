/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.quota.QuotaAsk;
import org.larkkeel.quota.QuotaGrant;
import org.larkkeel.quota.QuotaHolder;
import org.larkkeel.quota.QuotaKey;
import org.larkkeel.quota.TokenLimit;
import org.larkkeel.relay.QuotaOutcome;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelayWorkspace;

/**
 * Holds calls to the quotas of their workspaces, before anything is spent on them.
 *
 * <p>Invariant: the tokens of a call that no upstream has run are given back once, when it ends.
 * Not safe for use by several threads.
 */
final class Quotas {
  private static final double MILLI = 1e6;

  /** The part of a call's target that it may wait for tokens to refill. */
  private static final double PATIENCE = 0.4;

  /** Callers that are told the same time come back spread over this part of it. */
  private static final double SPREAD = 0.25;

  private final Timers timers;
  private final SplittableRandom random;
  private final HeldQuotas held;
  private final UpstreamRates rates;
  private final Calls calls;

  /** What is needed of the calls. */
  interface Calls {
    /** The configuration in force; null if there is none. */
    RelayConfiguration configuration();

    /** The call that waits under an id, if there still is one. */
    Optional<CallState> find(QuotaHolder.Outcome outcome);

    /** Goes on with a call that is within its quota. */
    void admitted(long at, CallState c);

    /** Goes on with calls that wait for a permit to their upstreams. */
    void permitsGranted(long at);

    /** Ends a call that is not. */
    void refuse(long at, CallState c, ErrorKind kind, long retryAfterMillis, String detail);
  }

  private final Consumer<RelayEffect> effects;

  Quotas(
      Timers timers,
      SplittableRandom random,
      HeldQuotas held,
      UpstreamRates rates,
      Calls calls,
      Consumer<RelayEffect> effects) {
    this.timers = timers;
    this.random = random;
    this.held = held;
    this.rates = rates;
    this.calls = calls;
    this.effects = effects;
  }

  /** Goes on with a call, lets it wait, or refuses it. */
  void admit(long at, CallState c) {
    Optional<RelayWorkspace> limited = c.workspace.filter(w -> w.limit().isLimited());
    if (limited.isEmpty()) {
      calls.admitted(at, c);
      return;
    }
    RelayWorkspace w = limited.get();
    c.quotaOf = new QuotaKey.OfWorkspace(w.name());
    c.quotaTokens = w.cost(c.call.size());
    boolean alone = held.at(at).isAlone(at);
    decided(
        at,
        c,
        held.at(at).take(at, c.call.id(), c.quotaOf, w.limit(), c.quotaTokens, patience(c)),
        alone);
  }

  private static long patience(CallState c) {
    return (long) (PATIENCE * c.targetNanos());
  }

  private void decided(long at, CallState c, QuotaHolder.Decision decision, boolean alone) {
    switch (decision) {
      case QuotaHolder.Decision.Waits d -> {
        c.awaitsQuota = true;
        long longest = Math.max(QuotaHolder.WAIT_NANOS, patience(c));
        timers.add(new Timers.Due.Quota(at + longest, c.call.id()));
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
    WorkspaceName name = c.quotaOf.workspace();
    QuotaOutcome outcome = alone ? QuotaOutcome.REFUSED_ALONE : QuotaOutcome.REFUSED;
    report(at, c, outcome, held.at(at).held(c.quotaOf), waitNanos);
    double spread = 1 + SPREAD * random.nextDouble();
    long millis = waitNanos == 0 ? 0 : 1 + (long) (waitNanos / MILLI * spread);
    String detail =
        waitNanos == 0
            ? "the request takes " + c.quotaTokens + " tokens, more than the burst of " + name
            : "the quota of " + name + " is used up";
    calls.refuse(at, c, ErrorKind.WORKSPACE_LIMIT, millis, detail);
  }

  /** The coordinator has answered. */
  void granted(long at, QuotaGrant grant) {
    for (QuotaHolder.Outcome outcome : held.at(at).granted(at, grant)) {
      calls.find(outcome).ifPresent(c -> settled(at, c, outcome.decision(), false));
    }
    if (rates.haveLimits()) {
      calls.permitsGranted(at);
    }
  }

  private void settled(long at, CallState c, QuotaHolder.Decision decision, boolean alone) {
    c.awaitsQuota = false;
    decided(at, c, decision, alone);
  }

  /** A call has waited for the coordinator for long enough. */
  void due(long at, CallState c) {
    if (c.awaitsQuota) {
      held.at(at)
          .decideNow(at, c.call.id(), c.quotaOf)
          .ifPresent(d -> settled(at, c, d, held.at(at).isSilent(at)));
    }
  }

  /** A call has ended. */
  void remove(CallState c) {
    if (c.awaitsQuota) {
      c.awaitsQuota = false;
      held.begun().abandon(c.call.id(), c.quotaOf);
    }
    if (c.holdsQuota) {
      c.holdsQuota = false;
      if (c.runs == 0) {
        held.begun().giveBack(c.quotaOf, c.quotaTokens);
      }
    }
  }

  /** Another node is the coordinator now. */
  void coordinatorChanged(long at) {
    held.at(at).coordinatorChanged();
  }

  /** The machine was suspended. */
  void resumed(long at) {
    if (held.hasBegun()) {
      held.at(at).resumed(at);
    }
  }

  /** What the coordinator is to be asked now, if anything; in any case for a heartbeat. */
  Optional<QuotaAsk> ask(long at, boolean heartbeat) {
    RelayConfiguration configuration = calls.configuration();
    boolean limited = configuration != null && configuration.workspaces().haveLimits();
    if (!limited && !rates.haveLimits()) {
      return Optional.empty();
    }
    return held.at(at).ask(at, heartbeat);
  }

  /** Whether calls wait for tokens. */
  boolean hasWaiting() {
    return held.hasBegun() && held.begun().hasWaiting();
  }

  /** The limit of a quota; empty if there is no such workspace or upstream. */
  Optional<TokenLimit> limit(QuotaKey key) {
    return switch (key) {
      case QuotaKey.OfWorkspace w -> limit(w.workspace());
      case QuotaKey.OfUpstream u -> rates.limit(u.life());
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
                c.quotaOf.workspace(),
                calls.configuration().revision(),
                c.quotaTokens,
                outcome,
                left,
                held.at(at).age(at),
                waitNanos)));
  }
}
