/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.relay.ProbeResult;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayFact;

/**
 * Determines whether an upstream has crashed when the connection of an attempt breaks, and which
 * requests may have caused the crash.
 *
 * <p>A broken connection alone proves nothing: answers are lost, and connections are reset. The end
 * of an incarnation is proven if its address refuses connections, also to another node if there is
 * one, since the path of this node may be broken; if the discovery list shows another incarnation
 * or none, or if another upstream answers at the address. A request whose stream had run for a
 * while is not suspect, nor is one whose upstream had announced that it leaves.
 *
 * <p>Not thread-safe.
 */
final class CrashEvidence {
  private static final long MILLI = 1_000_000L;

  /** A request whose stream has run for longer than this is not the cause of a crash. */
  private static final long MAX_SUSPECT_STREAM_NANOS = 1_000 * MILLI;

  /**
   * The maximum wait for a proof: the discovery list shows the end of an incarnation some
   * heartbeats later.
   */
  private static final long PROOF_WAIT_NANOS = 10_000 * MILLI;

  /**
   * The maximum wait for a proof while the address accepts connections: only an upstream that has
   * already restarted has ended then.
   */
  private static final long LISTENING_PROOF_WAIT_NANOS = 5_000 * MILLI;

  private static final int MAX_PENDING = 256;

  private final Map<UpstreamIncarnation, Pending> pending = new HashMap<>();
  private final Consumer<RelayEffect> effects;
  private final EndListener endListener;
  private final Consumer<UpstreamState> prober;

  /** Is notified of proven ends of incarnations. */
  interface EndListener {
    /** Handles the proven end of an incarnation of an upstream that had these requests. */
    void incarnationEnded(
        long at, UpstreamIncarnation incarnation, ImmutableSet<Fingerprint> requests);
  }

  /** The requests of one incarnation that wait for a proof of its end. */
  private static final class Pending {
    private final List<Fingerprint> requests = new ArrayList<>();
    private long until;

    Pending(long until) {
      this.until = until;
    }
  }

  CrashEvidence(
      Consumer<RelayEffect> effects, EndListener endListener, Consumer<UpstreamState> prober) {
    this.effects = effects;
    this.endListener = endListener;
    this.prober = prober;
  }

  /** Handles a connection that broke while its upstream had the attempt. */
  void connectionLost(long at, AttemptState a) {
    if (!isSuspect(at, a)) {
      return;
    }
    pending.values().removeIf(p -> at > p.until);
    UpstreamIncarnation incarnation = a.upstream().incarnation();
    Pending p = pending.get(incarnation);
    if (p == null) {
      if (pending.size() >= MAX_PENDING) {
        return;
      }
      p = new Pending(at + PROOF_WAIT_NANOS);
      pending.put(incarnation, p);
      prober.accept(a.upstream());
    }
    if (p.requests.size() < MAX_PENDING) {
      p.requests.add(a.call().call.identity().fingerprint());
    }
  }

  private static boolean isSuspect(long at, AttemptState a) {
    long firstEventAt = a.call().attemptFirstEventAt;
    boolean isHarmless =
        firstEventAt != Long.MIN_VALUE && at - firstEventAt > MAX_SUSPECT_STREAM_NANOS;
    return !isHarmless && !a.upstream().isLeaving();
  }

  /**
   * Handles the proven end of an incarnation with an attempt whose connection has not broken yet.
   */
  void endedWithAttempt(long at, AttemptState a, String proof) {
    if (isSuspect(at, a)) {
      Fingerprint request = a.call().call.identity().fingerprint();
      reportEnd(at, a.upstream().incarnation(), proof, ImmutableSet.of(request));
    }
  }

  /**
   * Handles the result of a probe.
   *
   * @param isProof whether a refusal proves that the upstream has ended
   */
  void probed(long at, UpstreamIncarnation incarnation, ProbeResult result, boolean isProof) {
    Pending p = pending.get(incarnation);
    if (result == ProbeResult.REFUSES && isProof) {
      incarnationEnded(at, incarnation, "refuses_connections");
    } else if (result == ProbeResult.LISTENS && p != null) {
      p.until = Math.min(p.until, at + LISTENING_PROOF_WAIT_NANOS);
    }
  }

  /**
   * Handles the proven end of an incarnation.
   *
   * @param proof the kind of proof, for the log
   */
  void incarnationEnded(long at, UpstreamIncarnation incarnation, String proof) {
    Pending p = pending.remove(incarnation);
    if (p == null || at > p.until) {
      return;
    }
    reportEnd(at, incarnation, proof, ImmutableSet.copyOf(p.requests));
  }

  private void reportEnd(
      long at, UpstreamIncarnation incarnation, String proof, ImmutableSet<Fingerprint> requests) {
    effects.accept(
        new RelayEffect.Report(new RelayFact.UpstreamEnded(incarnation, proof, requests.size())));
    endListener.incarnationEnded(at, incarnation, requests);
  }
}
