/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.larkkeel.effect.Effect;
import org.larkkeel.effect.EffectSink;
import org.larkkeel.event.ClaimOutcome;
import org.larkkeel.event.Event;
import org.larkkeel.event.RecordOutcome;
import org.larkkeel.http.request.RecordedAnswer;
import org.larkkeel.http.request.RequestTable;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.RequestId;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.log.WriterId;
import org.larkkeel.store.run.ClaimRequest;
import org.larkkeel.store.run.ClaimResult;
import org.larkkeel.store.run.RecordResult;
import org.larkkeel.store.run.RunId;
import org.larkkeel.store.run.RunOutcome;
import org.larkkeel.store.run.RunToken;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Claims and records at-most-once runs at the node that owns their records.
 *
 * <p>Invariants: {@code CLAIMED} is published only after the owner confirmed that the claim with
 * exactly this token is durable; each effect results in exactly one event. A claim is safe to
 * retry, since its token identifies it. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class RunAdapter implements EffectSink {
  private static final Logger log = LoggerFactory.getLogger(RunAdapter.class);
  private static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration RECORD_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration RETRY_DELAY = Duration.ofMillis(50);
  private static final int MAX_ANSWER_BYTES = 32 << 10;
  private static final int SERVER_ERROR = 500;
  private static final String ANSWER_TYPE = "application/vnd.larkkeel.answer+json";

  private final RunOwners runOwners;
  private final RequestTable table;
  private final WriterId self;
  private final Scheduler scheduler;
  private final Consumer<Event> events;
  private final LongSupplier clock;
  private final ConcurrentMap<RequestId, RunToken> tokens = new ConcurrentHashMap<>();

  /**
   * Creates an adapter.
   *
   * @param runOwners sends claims and records to the owner
   * @param table the requests in progress: holds the answers to record and receives recorded
   *     answers
   * @param self the incarnation of this node
   * @param scheduler runs retries
   * @param events receives the outcomes
   * @param clock the node's monotonic clock, nanoseconds
   */
  public RunAdapter(
      RunOwners runOwners,
      RequestTable table,
      WriterId self,
      Scheduler scheduler,
      Consumer<Event> events,
      LongSupplier clock) {
    this.runOwners = runOwners;
    this.table = table;
    this.self = self;
    this.scheduler = scheduler;
    this.events = events;
    this.clock = clock;
  }

  @Override
  public void accept(Effect effect) {
    switch (effect) {
      case Effect.ClaimRun claim -> claim(claim);
      case Effect.RecordRun end -> record(end);
      default ->
          throw new IllegalArgumentException("expected ClaimRun or RecordRun, not " + effect);
    }
  }

  private void claim(Effect.ClaimRun effect) {
    RunId key = new RunId(effect.workspace(), effect.key().key());
    RunToken token = new RunToken(self, effect.attempt());
    tokens.put(effect.request(), token);
    String digest = Long.toHexString(effect.key().bodyDigest());
    tryClaim(
        effect, new ClaimRequest(key, digest, token), clock.getAsLong() + CLAIM_TIMEOUT.toNanos());
  }

  private void tryClaim(Effect.ClaimRun effect, ClaimRequest request, long deadlineNanos) {
    CompletableFuture<?> unused =
        runOwners
            .claim(request)
            .handle((result, failure) -> failure == null ? result : new ClaimResult.Unavailable())
            .thenAccept(result -> onClaimResult(effect, request, deadlineNanos, result));
  }

  private void onClaimResult(
      Effect.ClaimRun effect, ClaimRequest request, long deadlineNanos, ClaimResult result) {
    boolean isRetryable =
        result instanceof ClaimResult.Unavailable || result instanceof ClaimResult.NotOwner;
    if (isRetryable && clock.getAsLong() - deadlineNanos < 0) {
      scheduler.schedule(RETRY_DELAY, () -> tryClaim(effect, request, deadlineNanos));
      return;
    }
    if (isRetryable) {
      releaseClaim(request);
    }
    publishClaimOutcome(effect, outcome(effect.request(), result));
  }

  /**
   * Records an abandoned claim as not run. The claim may be durable, as only its answer may have
   * been lost, but no request was sent under it.
   */
  private void releaseClaim(ClaimRequest request) {
    long deadlineNanos = clock.getAsLong() + RECORD_TIMEOUT.toNanos();
    var unused =
        recordUntil(request.key(), request.token(), new RunOutcome.NotRun(), deadlineNanos);
  }

  private ClaimOutcome outcome(RequestId request, ClaimResult result) {
    return switch (result) {
      case ClaimResult.Claimed r -> ClaimOutcome.CLAIMED;
      case ClaimResult.AlreadyDone r -> alreadyDoneOutcome(request, r);
      case ClaimResult.InProgress r -> ClaimOutcome.IN_PROGRESS;
      case ClaimResult.Unknown r -> ClaimOutcome.UNKNOWN;
      case ClaimResult.KeyReused r -> ClaimOutcome.KEY_REUSED;
      case ClaimResult.Unavailable r -> ClaimOutcome.UNAVAILABLE;
      case ClaimResult.NotOwner r -> ClaimOutcome.UNAVAILABLE;
    };
  }

  /**
   * Keeps the recorded answer for replay; a done run without it counts as one of unknown outcome.
   */
  private ClaimOutcome alreadyDoneOutcome(RequestId request, ClaimResult.AlreadyDone result) {
    try {
      if (result.answer().isPresent()) {
        table.storeRecorded(request, RecordedAnswer.fromBytes(result.answer().get().body()));
        return ClaimOutcome.ALREADY_DONE;
      }
    } catch (IOException e) {
      log.error("event=recorded_answer_unreadable request={}", request, e);
    }
    return ClaimOutcome.UNKNOWN;
  }

  private void publishClaimOutcome(Effect.ClaimRun effect, ClaimOutcome outcome) {
    if (outcome != ClaimOutcome.CLAIMED) {
      tokens.remove(effect.request());
    }
    events.accept(new Event.ClaimSettled(clock.getAsLong(), effect.attempt(), outcome));
  }

  private void record(Effect.RecordRun effect) {
    RunToken token = tokens.remove(effect.request());
    if (token == null) {
      onRecordResult(effect.attempt(), RecordResult.NO_SUCH_RUN);
      return;
    }
    RunId key = new RunId(effect.workspace(), effect.key().key());
    long deadlineNanos = clock.getAsLong() + RECORD_TIMEOUT.toNanos();
    CompletableFuture<?> unused =
        recordUntil(key, token, runOutcome(effect), deadlineNanos)
            .thenAccept(result -> onRecordResult(effect.attempt(), result));
  }

  private RunOutcome runOutcome(Effect.RecordRun effect) {
    return switch (effect.result()) {
      case DONE -> answeredOutcome(effect);
      case NOT_RUN -> new RunOutcome.NotRun();
      case UNKNOWN -> new RunOutcome.Unknown();
    };
  }

  /** An answer too large to record is recorded as an unknown outcome, so it is never run again. */
  private RunOutcome answeredOutcome(Effect.RecordRun effect) {
    Optional<byte[]> answer =
        table.answer(effect.request(), effect.attempt()).map(RecordedAnswer::toBytes);
    return answer
        .filter(bytes -> bytes.length <= MAX_ANSWER_BYTES)
        .<RunOutcome>map(
            bytes ->
                new RunOutcome.Answered(
                    new org.larkkeel.store.run.RecordedAnswer(SERVER_ERROR, ANSWER_TYPE, bytes)))
        .orElseGet(RunOutcome.Unknown::new);
  }

  private CompletableFuture<RecordResult> recordUntil(
      RunId key, RunToken token, RunOutcome outcome, long deadlineNanos) {
    return runOwners
        .record(key, token, outcome)
        .handle((result, failure) -> failure == null ? result : RecordResult.UNAVAILABLE)
        .thenCompose(result -> retryRecord(key, token, outcome, deadlineNanos, result));
  }

  private CompletableFuture<RecordResult> retryRecord(
      RunId key, RunToken token, RunOutcome outcome, long deadlineNanos, RecordResult result) {
    boolean isRetryable = result == RecordResult.UNAVAILABLE || result == RecordResult.NOT_OWNER;
    if (!isRetryable || clock.getAsLong() - deadlineNanos >= 0) {
      return CompletableFuture.completedFuture(result);
    }
    CompletableFuture<RecordResult> retried = new CompletableFuture<>();
    scheduler.schedule(
        RETRY_DELAY,
        () -> {
          var unused =
              recordUntil(key, token, outcome, deadlineNanos).thenAccept(retried::complete);
        });
    return retried;
  }

  private void onRecordResult(AttemptId attempt, RecordResult result) {
    RecordOutcome outcome =
        result == RecordResult.RECORDED ? RecordOutcome.RECORDED : RecordOutcome.FAILED;
    if (outcome == RecordOutcome.FAILED) {
      log.warn("event=run_not_recorded attempt={} result={}", attempt, result);
    }
    events.accept(new Event.RecordSettled(clock.getAsLong(), attempt, outcome));
  }
}
