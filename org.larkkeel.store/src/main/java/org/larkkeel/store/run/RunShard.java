/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.run;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.log.CommitResult;
import org.larkkeel.store.log.LogWriter;
import org.larkkeel.store.log.LogWriterOptions;
import org.larkkeel.store.log.ObjectLog;
import org.larkkeel.store.log.Submission;
import org.larkkeel.store.log.WriterId;

/**
 * One shard of the run log at the host that owns it, or is taking it over.
 *
 * <p>Invariant: a claim results in {@link ClaimResult.Claimed} only if its record is in the log and
 * no other token holds the key. Confined to the scheduler.
 */
final class RunShard implements AutoCloseable {
  private final Scheduler scheduler;
  private final RunLimits limits;
  private final RunTable table;
  private final LogWriter writer;
  private final Map<RunId, PendingClaim> pending = new HashMap<>();

  RunShard(ObjectLog log, Scheduler scheduler, RunLimits limits, LogWriterOptions writerOptions) {
    this.scheduler = scheduler;
    this.limits = limits;
    this.table = new RunTable(limits);
    this.writer = new LogWriter(log, writerOptions, table);
  }

  CompletableFuture<Void> open() {
    return writer.open();
  }

  CompletableFuture<Void> deposed() {
    return writer.deposed();
  }

  boolean isOwner() {
    return writer.isOwner();
  }

  CompletableFuture<ClaimResult> claim(ClaimRequest q, Predicate<WriterId> alive) {
    table.expire(scheduler.wallMillis());
    Optional<ClaimResult> known = table.lookup(q, alive);
    if (known.isPresent()) {
      return CompletableFuture.completedFuture(known.get());
    }
    PendingClaim other = pending.get(q.key());
    if (other != null) {
      return other.join(q);
    }
    if (table.size() + pending.size() >= limits.maxRuns()) {
      return CompletableFuture.completedFuture(new ClaimResult.Unavailable());
    }
    PendingClaim p = new PendingClaim(q);
    pending.put(q.key(), p);
    p.start();
    return p.result;
  }

  CompletableFuture<RecordResult> record(RunId key, RunToken token, RunOutcome outcome) {
    if (!table.isCurrent(key, token)) {
      return CompletableFuture.completedFuture(RecordResult.NO_SUCH_RUN);
    }
    if (table.isDone(key)) {
      return CompletableFuture.completedFuture(RecordResult.RECORDED);
    }
    return submit(toRecord(key, token, outcome)).result().thenApply(RunShard::recordResult);
  }

  private RunRecord toRecord(RunId key, RunToken token, RunOutcome outcome) {
    return switch (outcome) {
      case RunOutcome.Answered a -> new RunRecord.Done(key, token, answerWithinLimit(a.answer()));
      case RunOutcome.NotRun n -> new RunRecord.Release(key, token);
      case RunOutcome.Unknown u -> new RunRecord.Lost(key, token);
    };
  }

  private Optional<RecordedAnswer> answerWithinLimit(RecordedAnswer a) {
    return a.body().length <= limits.maxAnswerBytes() ? Optional.of(a) : Optional.empty();
  }

  private static RecordResult recordResult(CommitResult r) {
    return switch (r) {
      case COMMITTED -> RecordResult.RECORDED;
      case DEPOSED -> RecordResult.NOT_OWNER;
      case NOT_COMMITTED, UNKNOWN -> RecordResult.UNAVAILABLE;
    };
  }

  private Submission submit(RunRecord r) {
    return writer.submit(RunRecord.Codec.write(r));
  }

  @Override
  public void close() {
    writer.close();
  }

  /** A claim that is not durable yet. */
  private final class PendingClaim {
    final CompletableFuture<ClaimResult> result = new CompletableFuture<>();
    private final ClaimRequest request;
    private Submission submission;
    private Scheduler.Timer timer;

    PendingClaim(ClaimRequest request) {
      this.request = request;
    }

    void start() {
      RunRecord claim =
          new RunRecord.Claim(
              request.key(), request.token(), request.bodyDigest(), scheduler.wallMillis());
      timer = scheduler.schedule(limits.claimTimeout(), this::timedOut);
      submission = submit(claim);
      submission.result().thenAccept(this::commitCompleted);
    }

    CompletableFuture<ClaimResult> join(ClaimRequest q) {
      if (!q.bodyDigest().equals(request.bodyDigest())) {
        return CompletableFuture.completedFuture(new ClaimResult.KeyReused());
      }
      if (q.token().equals(request.token())) {
        return result;
      }
      return CompletableFuture.completedFuture(new ClaimResult.InProgress());
    }

    private void timedOut() {
      if (!writer.withdraw(submission)) {
        result.complete(new ClaimResult.Unknown());
      }
    }

    private void commitCompleted(CommitResult r) {
      timer.cancel();
      pending.remove(request.key(), this);
      boolean alreadyAnswered = result.isDone();
      result.complete(
          switch (r) {
            case COMMITTED -> new ClaimResult.Claimed(request.token());
            case NOT_COMMITTED, DEPOSED -> new ClaimResult.Unavailable();
            case UNKNOWN -> new ClaimResult.Unknown();
          });
      if (alreadyAnswered && r == CommitResult.COMMITTED) {
        // The claimant received "unknown" after the timeout, so it will not report an outcome.
        submit(new RunRecord.Lost(request.key(), request.token()));
      }
    }
  }
}
