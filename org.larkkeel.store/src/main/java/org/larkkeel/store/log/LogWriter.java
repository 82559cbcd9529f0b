/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.larkkeel.store.Backoff;
import org.larkkeel.store.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes a log as its owner: takes ownership by appending a seal, then commits records in batches.
 *
 * <p>Invariants: at most one append is in progress, and the same entry is appended until its
 * outcome is known. The replica holds exactly the entries up to the last one known. A record is
 * reported committed only after its entry is known to be in the log. After another owner's seal
 * nothing more is committed, regardless of this process's clock. Confined to the scheduler.
 *
 * @since 0.1
 */
public final class LogWriter implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(LogWriter.class);

  private final ObjectLog log;
  private final Scheduler scheduler;
  private final LogWriterOptions options;
  private final Replica replica;
  private final Backoff backoff;
  private final Deque<Submission> queue = new ArrayDeque<>();
  private final CompletableFuture<Void> opened = new CompletableFuture<>();
  private final CompletableFuture<Void> deposed = new CompletableFuture<>();
  private List<Submission> batch = List.of();
  private Phase phase = Phase.NEW;
  private long last;
  private long nextAppendNanos;
  private boolean flushScheduled;
  private int entriesSinceSnapshot;
  private long bytesSinceSnapshot;
  private boolean snapshotInProgress;

  /**
   * Creates a writer that does not own the log yet.
   *
   * @param log the log
   * @param options limits
   * @param replica the state to build from the log; empty
   */
  public LogWriter(ObjectLog log, LogWriterOptions options, Replica replica) {
    this.log = log;
    this.scheduler = log.scheduler();
    this.options = options;
    this.replica = replica;
    this.backoff = log.newBackoff();
    this.nextAppendNanos = scheduler.nanoTime();
  }

  /**
   * Takes ownership of the log: reads it and appends a seal. Retries until it succeeds or the
   * writer is closed.
   *
   * @return completes when this process owns the log; never fails
   */
  public CompletableFuture<Void> open() {
    phase = Phase.OPENING;
    readTail();
    return opened;
  }

  /**
   * Returns a future for the end of the ownership.
   *
   * @return completes when another process has taken the log over, or this writer is closed
   */
  public CompletableFuture<Void> deposed() {
    return deposed;
  }

  /**
   * Returns whether this process owns the log and records are accepted.
   *
   * @return true from the seal of this process until it learns of another owner's seal or closes
   */
  public boolean isOwner() {
    return phase == Phase.OWNER;
  }

  /**
   * Submits a record, which is committed in one entry with others.
   *
   * @param record the record
   * @return the submission, which completes with the outcome
   */
  public Submission submit(JsonNode record) {
    Submission s = new Submission(record);
    if (phase != Phase.OWNER) {
      s.result().complete(CommitResult.DEPOSED);
    } else if (queue.size() >= options.maxPending() || s.bytes() > log.options().maxEntryBytes()) {
      s.result().complete(CommitResult.NOT_COMMITTED);
    } else {
      queue.addLast(s);
      flush();
    }
    return s;
  }

  /**
   * Withdraws a record that has not been sent to the store.
   *
   * @param s the submission of the record
   * @return true if the record was withdrawn and will never be sent; its result is then {@link
   *     CommitResult#NOT_COMMITTED}
   */
  public boolean withdraw(Submission s) {
    boolean removed = queue.remove(s);
    if (removed) {
      s.result().complete(CommitResult.NOT_COMMITTED);
    }
    return removed;
  }

  /** Ends the ownership without a seal; records that were not sent are not committed. */
  @Override
  public void close() {
    endOwnership(Phase.CLOSED, CommitResult.UNKNOWN);
  }

  private void readTail() {
    if (phase != Phase.OPENING) {
      return;
    }
    log.read(last)
        .whenComplete(
            (view, failure) -> {
              if (failure != null) {
                scheduler.schedule(backoff.nextDelay(), this::readTail);
              } else {
                replay(view);
              }
            });
  }

  private void replay(LogView view) {
    if (phase != Phase.OPENING) {
      return;
    }
    view.snapshot().ifPresent(this::restore);
    view.entries().forEach(this::apply);
    backoff.reset();
    seal(LogEntry.seal(last + 1, log.nextAppend()), PriorAttempt.NONE);
  }

  private void restore(LogSnapshot s) {
    last = s.through();
    replica.restore(s);
  }

  private void apply(LogEntry e) {
    last = e.number();
    replica.apply(e);
  }

  private void seal(LogEntry seal, PriorAttempt prior) {
    if (phase != Phase.OPENING) {
      return;
    }
    log.append(seal)
        .setPriorAttempt(prior)
        .setGuard(TruncationGuard.READ_MANIFEST)
        .call()
        .thenAccept(r -> sealCompleted(seal, r));
  }

  private void sealCompleted(LogEntry seal, AppendResult r) {
    switch (r) {
      case AppendResult.Appended a -> becomeOwner(seal);
      case AppendResult.Unresolved u ->
          scheduler.schedule(backoff.nextDelay(), () -> seal(seal, PriorAttempt.UNRESOLVED));
      case AppendResult.PositionTaken l -> readTail();
      case AppendResult.NotAppended n -> scheduler.schedule(backoff.nextDelay(), this::readTail);
      case AppendResult.PositionTruncated f -> readTail();
    }
  }

  private void becomeOwner(LogEntry seal) {
    if (phase != Phase.OPENING) {
      return;
    }
    apply(seal);
    backoff.reset();
    phase = Phase.OWNER;
    LOG.info("event=log-owned log={} seal={}", log.name(), seal.number());
    opened.complete(null);
  }

  private void flush() {
    if (phase != Phase.OWNER || !batch.isEmpty() || queue.isEmpty() || flushScheduled) {
      return;
    }
    long waitNanos = nextAppendNanos - scheduler.nanoTime();
    if (waitNanos > 0) {
      flushScheduled = true;
      scheduler.schedule(Duration.ofNanos(waitNanos), this::flushNow);
    } else {
      flushNow();
    }
  }

  private void flushNow() {
    flushScheduled = false;
    if (phase != Phase.OWNER || !batch.isEmpty() || queue.isEmpty()) {
      return;
    }
    batch = nextBatch();
    nextAppendNanos = scheduler.nanoTime() + options.interval().toNanos();
    List<JsonNode> records = batch.stream().map(Submission::record).toList();
    append(LogEntry.records(last + 1, log.nextAppend(), records), PriorAttempt.NONE);
  }

  private List<Submission> nextBatch() {
    List<Submission> next = new ArrayList<>();
    int bytes = 0;
    while (!queue.isEmpty()) {
      bytes += queue.peekFirst().bytes();
      if (!next.isEmpty() && bytes > log.options().maxEntryBytes()) {
        break;
      }
      next.add(queue.removeFirst());
    }
    return next;
  }

  private void append(LogEntry e, PriorAttempt prior) {
    log.append(e)
        .setPriorAttempt(prior)
        .setGuard(TruncationGuard.RETAINED_SEAL)
        .call()
        .thenAccept(r -> appendCompleted(e, r));
  }

  private void appendCompleted(LogEntry e, AppendResult r) {
    if (phase != Phase.OWNER) {
      return;
    }
    switch (r) {
      case AppendResult.Appended a -> commit(e);
      case AppendResult.NotAppended n -> completeBatch(CommitResult.NOT_COMMITTED);
      case AppendResult.Unresolved u ->
          scheduler.schedule(backoff.nextDelay(), () -> append(e, PriorAttempt.UNRESOLVED));
      case AppendResult.PositionTaken l -> endOwnership(Phase.DEPOSED, CommitResult.DEPOSED);
      case AppendResult.PositionTruncated f -> endOwnership(Phase.DEPOSED, CommitResult.UNKNOWN);
    }
  }

  private void commit(LogEntry e) {
    backoff.reset();
    apply(e);
    entriesSinceSnapshot++;
    batch.forEach(s -> bytesSinceSnapshot += s.bytes());
    completeBatch(CommitResult.COMMITTED);
    snapshotIfDue();
  }

  private void completeBatch(CommitResult r) {
    List<Submission> done = batch;
    batch = List.of();
    done.forEach(s -> s.result().complete(r));
    flush();
  }

  private void endOwnership(Phase endPhase, CommitResult batchResult) {
    if (phase == Phase.CLOSED || phase == Phase.DEPOSED) {
      return;
    }
    phase = endPhase;
    if (endPhase == Phase.DEPOSED) {
      LOG.info("event=log-lost log={} last={}", log.name(), last);
    }
    List<Submission> waiting = List.copyOf(queue);
    queue.clear();
    completeBatch(batchResult);
    waiting.forEach(s -> s.result().complete(CommitResult.DEPOSED));
    deposed.complete(null);
  }

  private void snapshotIfDue() {
    boolean due =
        entriesSinceSnapshot >= options.snapshotEntries()
            || bytesSinceSnapshot >= options.snapshotBytes();
    if (!due || snapshotInProgress) {
      return;
    }
    snapshotInProgress = true;
    entriesSinceSnapshot = 0;
    bytesSinceSnapshot = 0;
    log.writeSnapshot(new LogSnapshot(last, replica.save())).whenComplete(this::snapshotCompleted);
  }

  private void snapshotCompleted(SnapshotResult r, Throwable failure) {
    snapshotInProgress = false;
    if (failure != null) {
      LOG.warn("event=snapshot-failed log={} cause=\"{}\"", log.name(), failure.getMessage());
    }
  }

  private enum Phase {
    NEW,
    OPENING,
    OWNER,
    DEPOSED,
    CLOSED
  }
}
