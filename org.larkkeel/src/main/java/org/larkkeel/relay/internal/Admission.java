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
import org.larkkeel.relay.RelayCall;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelayRule;
import org.larkkeel.relay.RelayWorkspace;
import org.larkkeel.relay.ServiceName;

/**
 * Takes calls in by the configuration in force, or refuses them at once.
 *
 * <p>Invariant: the revision in force never decreases. Not safe for use by several threads.
 */
final class Admission {
  private static final long MILLI = 1_000_000L;
  private static final long NOT_READY_RETRY_MILLIS = 300;

  private final Fleet fleet;
  private final SplittableRandom random;
  private final CrashGuard guard;
  private final FinalAnswers answers;
  private final Consumer<RelayEffect> effects;
  private RelayConfiguration configuration;

  Admission(
      Fleet fleet,
      SplittableRandom random,
      CrashGuard guard,
      FinalAnswers answers,
      Consumer<RelayEffect> effects) {
    this.fleet = fleet;
    this.random = random;
    this.guard = guard;
    this.answers = answers;
    this.effects = effects;
  }

  /** The configuration in force; null if there is none. */
  RelayConfiguration configuration() {
    return configuration;
  }

  /** Whether calls can be placed. */
  boolean isReady() {
    return configuration != null && fleet.isKnown();
  }

  private long revision() {
    return configuration == null ? 0 : configuration.revision();
  }

  /** Takes over a configuration that is not older than that in force. */
  void read(RelayConfiguration read) {
    long before = revision();
    if (configuration != null && read.revision() <= before) {
      if (read.revision() < before) {
        report(new RelayFact.Stale(read.revision(), before));
      }
      return;
    }
    configuration = read;
    report(new RelayFact.InForce(read.revision(), before, read.size()));
  }

  /** Takes a call in; empty if it was refused. */
  Optional<CallState> admit(long at, RelayCall call) {
    if (!isReady()) {
      answers.refuse(call, ErrorKind.NOT_READY, NOT_READY_RETRY_MILLIS, "no configuration yet");
      return Optional.empty();
    }
    Optional<RelayRule> rule = configuration.match(call.host(), call.path());
    if (rule.isEmpty()) {
      answers.refuse(call, ErrorKind.NO_RULE, 0, "revision " + revision());
      return Optional.empty();
    }
    long left = guard.remainingNanos(at, call);
    if (left > 0) {
      answers.refuse(call, ErrorKind.QUARANTINED, left / MILLI, CrashGuard.REFUSAL);
      return Optional.empty();
    }
    Optional<RelayWorkspace> workspace = workspace(call);
    if (workspace.isEmpty() && !mayBeAnonymous(rule.get())) {
      answers.refuse(call, ErrorKind.UNAUTHENTICATED, 0, refusal(call));
      return Optional.empty();
    }
    return Optional.of(admit(at, call, rule.get(), workspace));
  }

  private CallState admit(
      long at, RelayCall call, RelayRule rule, Optional<RelayWorkspace> workspace) {
    long millis = rule.timeoutMillis();
    if (call.deadlineMillis() > 0) {
      millis = Math.min(millis, call.deadlineMillis());
    }
    CallState c = new CallState(call, rule, service(rule), at, at + millis * MILLI);
    c.workspace = workspace;
    report(
        new RelayFact.Admitted(
            call.wireId(),
            rule.name().value(),
            c.service.value(),
            workspace.map(w -> w.name().value()).orElse(""),
            revision(),
            millis,
            call.size(),
            call.resumes()));
    return c;
  }

  /** Looks up anew for whom a call is; whether its caller may still have it sent. */
  boolean isAllowed(CallState c) {
    Optional<RelayWorkspace> now = workspace(c.call);
    if (now.isEmpty() && !mayBeAnonymous(c.rule)) {
      return false;
    }
    c.workspace = now;
    return true;
  }

  /** What the caller of a call without a known key is told. */
  static String refusal(RelayCall call) {
    return call.key().isEmpty() ? "the request has no key" : "no workspace holds the key";
  }

  private Optional<RelayWorkspace> workspace(RelayCall call) {
    return call.key().flatMap(configuration.workspaces()::find);
  }

  private boolean mayBeAnonymous(RelayRule rule) {
    return rule.anonymous() || !configuration.workspaces().areRequired();
  }

  private ServiceName service(RelayRule rule) {
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
    throw new IllegalStateException("the weights of " + rule.name() + " do not add up");
  }

  private void report(RelayFact fact) {
    effects.accept(new RelayEffect.Report(fact));
  }
}
