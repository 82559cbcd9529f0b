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
import org.larkkeel.relay.CallRank;
import org.larkkeel.relay.RelayCall;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelayRule;
import org.larkkeel.relay.RelayWorkspace;
import org.larkkeel.relay.ServiceName;

/**
 * Admits calls by the configuration in force, or refuses them immediately.
 *
 * <p>Invariants: the revision in force never decreases; no call is admitted or refused by a
 * configuration that is in doubt. Not thread-safe.
 */
final class Admission {
  private static final long MILLI = 1_000_000L;
  private static final long NOT_READY_RETRY_MILLIS = 300;

  private final UpstreamTable upstreams;
  private final SplittableRandom random;
  private final CrashGuard crashGuard;
  private final FinalAnswers answers;
  private final StateConfirmation confirmation;
  private final Consumer<RelayEffect> effects;
  private RelayConfiguration configuration;

  /** The result of applying a configuration. */
  enum Applied {
    /** The configuration is now in force. */
    IN_FORCE,

    /** The configuration is not newer than the one in force. */
    IGNORED
  }

  Admission(
      UpstreamTable upstreams,
      SplittableRandom random,
      CrashGuard crashGuard,
      FinalAnswers answers,
      StateConfirmation confirmation,
      Consumer<RelayEffect> effects) {
    this.upstreams = upstreams;
    this.random = random;
    this.crashGuard = crashGuard;
    this.answers = answers;
    this.confirmation = confirmation;
    this.effects = effects;
  }

  /** Returns the configuration in force; null if there is none. */
  RelayConfiguration configuration() {
    return configuration;
  }

  /** Returns whether calls can be placed. */
  boolean isReady() {
    return isStateReceived() && confirmation.isTrusted();
  }

  private boolean isStateReceived() {
    return configuration != null && upstreams.isListReceived();
  }

  private long revision() {
    return configuration == null ? 0 : configuration.revision();
  }

  /**
   * Applies a configuration if it is newer than the one in force.
   *
   * @return whether it is now in force
   */
  Applied apply(RelayConfiguration candidate) {
    long before = revision();
    if (configuration != null && candidate.revision() <= before) {
      if (candidate.revision() < before) {
        report(new RelayFact.Stale(candidate.revision(), before));
      }
      return Applied.IGNORED;
    }
    configuration = candidate;
    report(new RelayFact.InForce(candidate.revision(), before, candidate.ruleCount()));
    return Applied.IN_FORCE;
  }

  /** Returns whether the state was received, and may be trusted again in a moment. */
  boolean isInDoubt(long at) {
    return isStateReceived() && !confirmation.isTrusted(at);
  }

  /** Refuses a call, as the state is not known or in doubt. */
  void refuseNotReady(RelayCall call) {
    String detail = isStateReceived() ? confirmation.detail() : "no configuration yet";
    answers.refuse(call, ErrorKind.NOT_READY, NOT_READY_RETRY_MILLIS, detail);
  }

  /**
   * Admits a call; returns empty if the call was refused.
   *
   * @param at now
   * @param arrivedAt the time of its arrival, from which its deadline counts
   * @param call the call
   */
  Optional<CallState> admit(long at, long arrivedAt, RelayCall call) {
    if (!isStateReceived() || !confirmation.isTrusted(at)) {
      refuseNotReady(call);
      return Optional.empty();
    }
    Optional<RelayRule> rule = configuration.match(call.host(), call.path());
    if (rule.isEmpty()) {
      answers.refuse(call, ErrorKind.NO_RULE, 0, "revision " + revision());
      return Optional.empty();
    }
    ServiceName service = drawService(rule.get());
    long remainingNanos = crashGuard.remainingNanos(at, call, service);
    if (remainingNanos > 0) {
      answers.refuse(
          call, ErrorKind.QUARANTINED, remainingNanos / MILLI, CrashGuard.REFUSAL_DETAIL);
      return Optional.empty();
    }
    Optional<RelayWorkspace> workspace = workspace(call);
    if (workspace.isEmpty() && !allowsAnonymous(rule.get())) {
      answers.refuse(call, ErrorKind.UNAUTHENTICATED, 0, refusalDetail(call));
      return Optional.empty();
    }
    return Optional.of(admit(arrivedAt, call, rule.get(), service, workspace));
  }

  private CallState admit(
      long arrivedAt,
      RelayCall call,
      RelayRule rule,
      ServiceName service,
      Optional<RelayWorkspace> workspace) {
    long millis = rule.timeoutMillis();
    if (call.deadlineMillis() > 0) {
      millis = Math.min(millis, call.deadlineMillis());
    }
    CallState c = new CallState(call, rule, service, arrivedAt, arrivedAt + millis * MILLI);
    c.workspace = workspace;
    updateRank(c);
    report(
        new RelayFact.Admitted(
            call.wireId(),
            rule.name().value(),
            c.service.value(),
            workspace.map(w -> w.name().value()).orElse(""),
            c.rank,
            revision(),
            millis,
            call.size(),
            call.resumes(),
            call.resumedStream()));
    return c;
  }

  /** Looks up the workspace of a call again; returns whether the call may still be sent. */
  boolean isAllowed(CallState c) {
    Optional<RelayWorkspace> now = workspace(c.call);
    if (now.isEmpty() && !allowsAnonymous(c.rule)) {
      return false;
    }
    c.workspace = now;
    updateRank(c);
    return true;
  }

  /**
   * Looks up the rank of a call again, and the workspace in whose name it waits. A call whose rule
   * is gone keeps that rule's priority; one whose key is gone keeps its workspace until it is
   * refused before its next send.
   *
   * @return whether the rank has changed
   */
  boolean updateRank(CallState c) {
    Optional<RelayWorkspace> workspace = workspace(c.call);
    if (workspace.isEmpty() && !allowsAnonymous(c.rule)) {
      workspace = c.workspace;
    }
    int rulePriority =
        configuration
            .match(c.call.host(), c.call.path())
            .map(RelayRule::priority)
            .orElse(c.rule.priority());
    CallRank before = c.rank;
    c.rank =
        CallRank.of(
            workspace.map(RelayWorkspace::priority).orElse(OptionalInt.empty()), rulePriority);
    c.rankedWorkspace = workspace.map(RelayWorkspace::name);
    return !c.rank.equals(before);
  }

  /** Returns the detail of the refusal of a call that has no key or an unknown one. */
  static String refusalDetail(RelayCall call) {
    return call.key().isEmpty() ? "the request has no key" : "no workspace holds the key";
  }

  private Optional<RelayWorkspace> workspace(RelayCall call) {
    return call.key().flatMap(configuration.workspaces()::find);
  }

  private boolean allowsAnonymous(RelayRule rule) {
    return rule.anonymous() || !configuration.workspaces().areKeysRequired();
  }

  private ServiceName drawService(RelayRule rule) {
    int total = 0;
    for (RelayRule.Share share : rule.split()) {
      total += share.weight();
    }
    int drawn = random.nextInt(total);
    for (RelayRule.Share share : rule.split()) {
      drawn -= share.weight();
      if (drawn < 0) {
        return share.service();
      }
    }
    throw new IllegalStateException(
        "the service weights of rule " + rule.name() + " do not sum to the drawn total");
  }

  private void report(RelayFact fact) {
    effects.accept(new RelayEffect.Report(fact));
  }
}
