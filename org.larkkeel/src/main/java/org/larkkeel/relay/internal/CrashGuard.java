/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.relay.ProbeResult;
import org.larkkeel.relay.RelayCall;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.SuspectRequest;

/**
 * Keeps requests that crash upstreams from being sent to further upstreams.
 *
 * <p>{@link CrashEvidence} detects crashes and {@link Quarantine} counts them; this class applies
 * both to the calls of this node and to the reports of other nodes. Not thread-safe.
 */
final class CrashGuard {
  /** The detail of the refusal of a quarantined request. */
  static final String REFUSAL_DETAIL = "upstreams have ended that ran this request";

  private final Calls calls;
  private final Consumer<RelayEffect> effects;
  private final Quarantine quarantine;
  private final CrashEvidence evidence;

  /** Access to the calls. */
  interface Calls {
    /** Returns a copy of the calls without an attempt in flight. */
    List<CallState> idle();

    /**
     * Refuses a call whose request is quarantined for {@code remainingNanos} more; does nothing if
     * the call has ended.
     */
    void refuse(long at, CallState c, long remainingNanos);
  }

  CrashGuard(
      long seed, Consumer<RelayEffect> effects, Calls calls, Consumer<UpstreamState> prober) {
    this.calls = calls;
    this.effects = effects;
    this.quarantine = new Quarantine(new SplittableRandom(seed));
    this.evidence = new CrashEvidence(effects, this::crashed, prober);
  }

  /**
   * Returns the remaining quarantine of a call's request in nanoseconds and reports it; 0 if the
   * call may be sent.
   */
  long remainingNanos(long at, RelayCall call) {
    long remaining = quarantine.remainingNanos(at, call.identity());
    if (remaining > 0) {
      Fingerprint request = call.identity().fingerprint();
      report(
          new RelayFact.Quarantined(
              call.wireId(), request, quarantine.crashCount(request), remaining));
    }
    return remaining;
  }

  /** Returns the remaining quarantine of a request in nanoseconds; 0 if it is not quarantined. */
  long remainingNanos(long at, Fingerprint request) {
    return quarantine.remainingNanos(at, request);
  }

  /**
   * Handles the complete answer of an upstream to a call, which proves that the request did not
   * crash it.
   */
  void answered(long at, RelayCall call) {
    if (quarantine.clear(at, call.identity())) {
      cleared(at, call.identity().fingerprint(), "answered");
    }
  }

  /** Handles a connection that broke while its upstream had the attempt. */
  void connectionLost(long at, AttemptState a) {
    evidence.connectionLost(at, a);
  }

  /** Handles the proven end of an incarnation with an attempt that is still in flight. */
  void endedWithAttempt(long at, AttemptState a, String proof) {
    evidence.endedWithAttempt(at, a, proof);
  }

  /** Handles the proven end of an incarnation. */
  void incarnationEnded(long at, UpstreamIncarnation incarnation, String proof) {
    evidence.incarnationEnded(at, incarnation, proof);
  }

  /**
   * Handles the result of a probe of an upstream.
   *
   * @param isProof whether a refusal proves that the upstream has ended
   */
  void probed(long at, UpstreamIncarnation incarnation, ProbeResult result, boolean isProof) {
    evidence.probed(at, incarnation, result, isProof);
  }

  /** Returns the suspect requests to report to other nodes. */
  ImmutableList<SuspectRequest> suspects(long at) {
    return quarantine.reports(at);
  }

  /** Merges the suspect requests that another node reports. */
  void merge(long at, ImmutableList<SuspectRequest> reports) {
    for (SuspectRequest s : reports) {
      if (quarantine.merge(at, s)) {
        suspected(at, s.request(), "peer");
      }
    }
  }

  /** Releases a request from quarantine, as ordered by an operator. */
  void released(long at, Fingerprint request) {
    if (quarantine.clear(at, request)) {
      cleared(at, request, "released");
    }
  }

  private void crashed(
      long at, UpstreamIncarnation incarnation, ImmutableSet<Fingerprint> requests) {
    for (Fingerprint request : requests) {
      if (quarantine.recordCrash(at, request, incarnation)) {
        suspected(at, request, "self");
        sendReport(at, request);
      }
    }
  }

  private void cleared(long at, Fingerprint request, String cause) {
    report(new RelayFact.Cleared(request, cause));
    sendReport(at, request);
  }

  private void sendReport(long at, Fingerprint request) {
    quarantine.find(at, request).ifPresent(s -> effects.accept(new RelayEffect.ReportSuspect(s)));
  }

  /**
   * Reports new crashes of a request; if the request is quarantined now, refuses the calls that
   * wait with it.
   */
  private void suspected(long at, Fingerprint request, String source) {
    long remaining = quarantine.remainingNanos(at, request);
    report(new RelayFact.Suspected(request, quarantine.crashCount(request), remaining, source));
    if (remaining == 0) {
      return;
    }
    for (CallState c : calls.idle()) {
      if (c.call.identity().fingerprint().equals(request)) {
        calls.refuse(at, c, remainingNanos(at, c.call));
      }
    }
  }

  private void report(RelayFact fact) {
    effects.accept(new RelayEffect.Report(fact));
  }
}
