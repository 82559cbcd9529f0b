/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.relay.ProbeResult;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayFact;

/**
 * Determines whether an upstream has crashed when the connection of an attempt breaks, and which
 * attempts may have caused the crash.
 *
 * <p>A broken connection alone proves nothing: answers are lost, and connections are reset. The end
 * of an incarnation is proven if its address refuses connections, also to another node if there is
 * one, since the path of this node may be broken; if the discovery list shows another incarnation
 * or none, or if another upstream answers at the address. An attempt whose stream had run for a
 * while is not suspect, nor is one whose upstream had announced that it leaves.
 *
 * <p>Not thread-safe.
 */
final class CrashEvidence {
  private static final long MILLI = 1_000_000L;

  /** An attempt whose stream has run for longer than this is not the cause of a crash. */
  private static final long MAX_SUSPECT_STREAM_NANOS = 1_000 * MILLI;

  /**
   * An attempt whose stream has run for longer than this was not ended by a part of its prompt,
   * which other attempts may share: what a part does shows soon after the upstream begins to
   * generate.
   */
  private static final long MAX_SUSPECT_PART_STREAM_NANOS = 500 * MILLI;

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
    /** Handles the proven end of the upstream that had these attempts. */
    void upstreamEnded(long at, UpstreamState upstream, ImmutableList<LostAttempt> attempts);
  }

  /**
   * An attempt that may have caused the end of its upstream.
   *
   * @param traits what the call has that may be the cause, the narrowest first
   * @param time the time at which the attempt was sent, and that at which its connection broke
   */
  record LostAttempt(ImmutableList<CallTrait> traits, SuspectRecord.CrashTime time) {}

  /** The attempts at one incarnation that wait for a proof of its end. */
  private static final class Pending {
    private final UpstreamState upstream;
    private final List<LostAttempt> attempts = new ArrayList<>();
    private long until;

    Pending(UpstreamState upstream, long until) {
      this.upstream = upstream;
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
      p = new Pending(a.upstream(), at + PROOF_WAIT_NANOS);
      pending.put(incarnation, p);
      prober.accept(a.upstream());
    }
    if (p.attempts.size() < MAX_PENDING) {
      p.attempts.add(lost(at, a));
    }
  }

  private static LostAttempt lost(long at, AttemptState a) {
    CallState c = a.call();
    ImmutableList<CallTrait> traits = CallTrait.of(c.call, c.service);
    long streamed = streamedNanos(at, a);
    return new LostAttempt(
        arePartsSuspect(streamed) ? traits : traits.subList(0, 1),
        new SuspectRecord.CrashTime(at, a.sentAt(), streamed));
  }

  /** Returns whether a part of the prompt may have ended a stream that has run for some time. */
  static boolean arePartsSuspect(long streamedNanos) {
    return streamedNanos <= MAX_SUSPECT_PART_STREAM_NANOS;
  }

  /** Returns the time for which the stream of an attempt has run; 0 before the first event. */
  static long streamedNanos(long at, AttemptState a) {
    long firstEventAt = a.call().attemptFirstEventAt;
    return firstEventAt == Long.MIN_VALUE ? 0 : Math.max(0, at - firstEventAt);
  }

  private static boolean isSuspect(long at, AttemptState a) {
    return streamedNanos(at, a) <= MAX_SUSPECT_STREAM_NANOS && !a.upstream().isLeaving();
  }

  /**
   * Handles the proven end of an incarnation with an attempt whose connection has not broken yet.
   */
  void endedWithAttempt(long at, AttemptState a, String proof) {
    if (isSuspect(at, a)) {
      reportEnd(at, a.upstream(), proof, ImmutableList.of(lost(at, a)));
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
    reportEnd(at, p.upstream, proof, ImmutableList.copyOf(p.attempts));
  }

  private void reportEnd(
      long at, UpstreamState upstream, String proof, ImmutableList<LostAttempt> attempts) {
    effects.accept(
        new RelayEffect.Report(
            new RelayFact.UpstreamEnded(upstream.incarnation(), proof, attempts.size())));
    endListener.upstreamEnded(at, upstream, attempts);
  }
}
