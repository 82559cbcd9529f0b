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
 * Claims and records at-most-once runs at whichever node owns the records.
 *
 * <p>Invariants: {@code CLAIMED} is told only if the owner said that the claim of this very token
 * is durable; each effect brings exactly one event. A claim may be asked for again, since its token
 * names it. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class RunAdapter implements EffectSink {
  private static final Logger log = LoggerFactory.getLogger(RunAdapter.class);
  private static final Duration CLAIM_PATIENCE = Duration.ofSeconds(3);
  private static final Duration RECORD_PATIENCE = Duration.ofSeconds(10);
  private static final Duration PAUSE = Duration.ofMillis(50);
  private static final int MAX_ANSWER_BYTES = 32 << 10;
  private static final int SERVER_ERROR = 500;
  private static final String ANSWER_TYPE = "application/vnd.larkkeel.answer+json";

  private final RunOwners records;
  private final RequestTable table;
  private final WriterId self;
  private final Scheduler scheduler;
  private final Consumer<Event> events;
  private final LongSupplier clock;
  private final ConcurrentMap<RequestId, RunToken> tokens = new ConcurrentHashMap<>();

  /**
   * Creates an adapter.
   *
   * @param records finds the owner of records and asks it
   * @param table gives the answers to record and takes those recorded
   * @param self this start of this node
   * @param scheduler runs what is tried again
   * @param events takes the outcomes
   * @param clock the node's monotonic clock, nanoseconds
   */
  public RunAdapter(
      RunOwners records,
      RequestTable table,
      WriterId self,
      Scheduler scheduler,
      Consumer<Event> events,
      LongSupplier clock) {
    this.records = records;
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
      default -> throw new IllegalArgumentException("not an effect of the run log: " + effect);
    }
  }

  private void claim(Effect.ClaimRun effect) {
    RunId key = new RunId(effect.workspace(), effect.key().key());
    RunToken token = new RunToken(self, effect.attempt());
    tokens.put(effect.request(), token);
    String digest = Long.toHexString(effect.key().bodyDigest());
    tryClaim(
        effect, new ClaimRequest(key, digest, token), clock.getAsLong() + CLAIM_PATIENCE.toNanos());
  }

  private void tryClaim(Effect.ClaimRun effect, ClaimRequest request, long end) {
    CompletableFuture<?> unused =
        records
            .claim(request)
            .handle((result, failure) -> failure == null ? result : new ClaimResult.Unavailable())
            .thenAccept(result -> claimed(effect, request, end, result));
  }

  private void claimed(Effect.ClaimRun effect, ClaimRequest request, long end, ClaimResult result) {
    boolean again =
        result instanceof ClaimResult.Unavailable || result instanceof ClaimResult.NotOwner;
    if (again && clock.getAsLong() - end < 0) {
      scheduler.schedule(PAUSE, () -> tryClaim(effect, request, end));
      return;
    }
    if (again) {
      giveBack(request);
    }
    settle(effect, outcome(effect.request(), result));
  }

  /** An answer may have been lost, so the claim may be there; nothing was sent under it. */
  private void giveBack(ClaimRequest request) {
    long end = clock.getAsLong() + RECORD_PATIENCE.toNanos();
    var unused = recordUntil(request.key(), request.token(), new RunOutcome.NotRun(), end);
  }

  private ClaimOutcome outcome(RequestId request, ClaimResult result) {
    return switch (result) {
      case ClaimResult.Claimed r -> ClaimOutcome.CLAIMED;
      case ClaimResult.AlreadyDone r -> alreadyDone(request, r);
      case ClaimResult.InProgress r -> ClaimOutcome.IN_PROGRESS;
      case ClaimResult.Unknown r -> ClaimOutcome.UNKNOWN;
      case ClaimResult.KeyReused r -> ClaimOutcome.KEY_REUSED;
      case ClaimResult.Unavailable r -> ClaimOutcome.UNAVAILABLE;
      case ClaimResult.NotOwner r -> ClaimOutcome.UNAVAILABLE;
    };
  }

  /** Without its answer a run that is done can not be told from one with an unknown outcome. */
  private ClaimOutcome alreadyDone(RequestId request, ClaimResult.AlreadyDone result) {
    try {
      if (result.answer().isPresent()) {
        table.keepRecorded(request, RecordedAnswer.fromBytes(result.answer().get().body()));
        return ClaimOutcome.ALREADY_DONE;
      }
    } catch (IOException e) {
      log.error("event=recorded_answer_unreadable request={}", request, e);
    }
    return ClaimOutcome.UNKNOWN;
  }

  private void settle(Effect.ClaimRun effect, ClaimOutcome outcome) {
    if (outcome != ClaimOutcome.CLAIMED) {
      tokens.remove(effect.request());
    }
    events.accept(new Event.ClaimSettled(clock.getAsLong(), effect.attempt(), outcome));
  }

  private void record(Effect.RecordRun effect) {
    RunToken token = tokens.remove(effect.request());
    if (token == null) {
      recorded(effect.attempt(), RecordResult.NO_SUCH_RUN);
      return;
    }
    RunId key = new RunId(effect.workspace(), effect.key().key());
    long end = clock.getAsLong() + RECORD_PATIENCE.toNanos();
    CompletableFuture<?> unused =
        recordUntil(key, token, runOutcome(effect), end)
            .thenAccept(result -> recorded(effect.attempt(), result));
  }

  private RunOutcome runOutcome(Effect.RecordRun effect) {
    return switch (effect.result()) {
      case DONE -> answered(effect);
      case NOT_RUN -> new RunOutcome.NotRun();
      case UNKNOWN -> new RunOutcome.Unknown();
    };
  }

  /** An answer that is too large to keep leaves the run as one that is never run again. */
  private RunOutcome answered(Effect.RecordRun effect) {
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
      RunId key, RunToken token, RunOutcome outcome, long end) {
    return records
        .record(key, token, outcome)
        .handle((result, failure) -> failure == null ? result : RecordResult.UNAVAILABLE)
        .thenCompose(result -> recordAgain(key, token, outcome, end, result));
  }

  private CompletableFuture<RecordResult> recordAgain(
      RunId key, RunToken token, RunOutcome outcome, long end, RecordResult result) {
    boolean again = result == RecordResult.UNAVAILABLE || result == RecordResult.NOT_OWNER;
    if (!again || clock.getAsLong() - end >= 0) {
      return CompletableFuture.completedFuture(result);
    }
    CompletableFuture<RecordResult> later = new CompletableFuture<>();
    scheduler.schedule(
        PAUSE,
        () -> {
          var unused = recordUntil(key, token, outcome, end).thenAccept(later::complete);
        });
    return later;
  }

  private void recorded(AttemptId attempt, RecordResult result) {
    RecordOutcome outcome =
        result == RecordResult.RECORDED ? RecordOutcome.RECORDED : RecordOutcome.FAILED;
    if (outcome == RecordOutcome.FAILED) {
      log.warn("event=run_not_recorded attempt={} result={}", attempt, result);
    }
    events.accept(new Event.RecordSettled(clock.getAsLong(), attempt, outcome));
  }
}
