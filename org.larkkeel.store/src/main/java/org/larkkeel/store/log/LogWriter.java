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
 * The owner of a log: takes it over by a seal, then commits records in groups.
 *
 * <p>Invariants: at most one append is in progress, and the same entry is appended until its fate
 * is known. The replica has exactly the entries up to the last one known. A record is reported
 * committed only after its entry is known to be in the log. After another owner's seal nothing more
 * is committed, whatever this process's clock says. Confined to the scheduler.
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
  private long nextStart;
  private boolean flushScheduled;
  private int entriesSinceSnapshot;
  private long bytesSinceSnapshot;
  private boolean snapshotting;

  /**
   * Creates a writer that does not own the log yet.
   *
   * @param log the log
   * @param options limits
   * @param replica an empty state
   */
  public LogWriter(ObjectLog log, LogWriterOptions options, Replica replica) {
    this.log = log;
    this.scheduler = log.scheduler();
    this.options = options;
    this.replica = replica;
    this.backoff = log.newBackoff();
    this.nextStart = scheduler.nanoTime();
  }

  /**
   * Takes the log over: reads it and appends a seal; tries until it succeeds or is closed.
   *
   * @return completes when this process owns the log; never fails
   */
  public CompletableFuture<Void> open() {
    phase = Phase.OPENING;
    readTail();
    return opened;
  }

  /**
   * The end of the ownership.
   *
   * @return completes when another process has taken the log over
   */
  public CompletableFuture<Void> deposed() {
    return deposed;
  }

  /**
   * Tells whether records are taken.
   *
   * @return true between the take-over by this process and that by another
   */
  public boolean isOwner() {
    return phase == Phase.OWNER;
  }

  /**
   * Gives a record to commit with others.
   *
   * @param record the record
   * @return its way into the log
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
   * Takes a record back.
   *
   * @param s the record's way
   * @return true if it was not sent and now never will be; its result is then {@link
   *     CommitResult#NOT_COMMITTED}
   */
  public boolean withdraw(Submission s) {
    boolean removed = queue.remove(s);
    if (removed) {
      s.result().complete(CommitResult.NOT_COMMITTED);
    }
    return removed;
  }

  /** Gives the log up without a seal; records not sent are not committed. */
  @Override
  public void close() {
    end(Phase.CLOSED, CommitResult.UNKNOWN);
  }

  private void readTail() {
    if (phase != Phase.OPENING) {
      return;
    }
    log.read(last)
        .whenComplete(
            (view, failure) -> {
              if (failure != null) {
                scheduler.schedule(backoff.next(), this::readTail);
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
    seal(LogEntry.seal(last + 1, log.nextAppend()), Prior.NONE);
  }

  private void restore(LogSnapshot s) {
    last = s.through();
    replica.restore(s);
  }

  private void apply(LogEntry e) {
    last = e.number();
    replica.apply(e);
  }

  private void seal(LogEntry seal, Prior prior) {
    if (phase != Phase.OPENING) {
      return;
    }
    log.append(seal)
        .setPrior(prior)
        .setGuard(Guard.READ_MANIFEST)
        .call()
        .thenAccept(r -> sealed(seal, r));
  }

  private void sealed(LogEntry seal, AppendResult r) {
    switch (r) {
      case AppendResult.Appended a -> own(seal);
      case AppendResult.Unresolved u ->
          scheduler.schedule(backoff.next(), () -> seal(seal, Prior.UNRESOLVED));
      case AppendResult.Lost l -> readTail();
      case AppendResult.NotAppended n -> scheduler.schedule(backoff.next(), this::readTail);
      case AppendResult.Forgotten f -> readTail();
    }
  }

  private void own(LogEntry seal) {
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
    long wait = nextStart - scheduler.nanoTime();
    if (wait > 0) {
      flushScheduled = true;
      scheduler.schedule(Duration.ofNanos(wait), this::flushNow);
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
    nextStart = scheduler.nanoTime() + options.interval().toNanos();
    List<JsonNode> records = batch.stream().map(Submission::record).toList();
    append(LogEntry.records(last + 1, log.nextAppend(), records), Prior.NONE);
  }

  private List<Submission> nextBatch() {
    List<Submission> taken = new ArrayList<>();
    int bytes = 0;
    while (!queue.isEmpty()) {
      bytes += queue.peekFirst().bytes();
      if (!taken.isEmpty() && bytes > log.options().maxEntryBytes()) {
        break;
      }
      taken.add(queue.removeFirst());
    }
    return taken;
  }

  private void append(LogEntry e, Prior prior) {
    log.append(e)
        .setPrior(prior)
        .setGuard(Guard.RETAINED_SEAL)
        .call()
        .thenAccept(r -> appended(e, r));
  }

  private void appended(LogEntry e, AppendResult r) {
    if (phase != Phase.OWNER) {
      return;
    }
    switch (r) {
      case AppendResult.Appended a -> commit(e);
      case AppendResult.NotAppended n -> settle(CommitResult.NOT_COMMITTED);
      case AppendResult.Unresolved u ->
          scheduler.schedule(backoff.next(), () -> append(e, Prior.UNRESOLVED));
      case AppendResult.Lost l -> end(Phase.DEPOSED, CommitResult.DEPOSED);
      case AppendResult.Forgotten f -> end(Phase.DEPOSED, CommitResult.UNKNOWN);
    }
  }

  private void commit(LogEntry e) {
    backoff.reset();
    apply(e);
    entriesSinceSnapshot++;
    batch.forEach(s -> bytesSinceSnapshot += s.bytes());
    settle(CommitResult.COMMITTED);
    snapshotIfDue();
  }

  private void settle(CommitResult r) {
    List<Submission> done = batch;
    batch = List.of();
    done.forEach(s -> s.result().complete(r));
    flush();
  }

  private void end(Phase how, CommitResult ofBatch) {
    if (phase == Phase.CLOSED || phase == Phase.DEPOSED) {
      return;
    }
    phase = how;
    if (how == Phase.DEPOSED) {
      LOG.info("event=log-lost log={} last={}", log.name(), last);
    }
    List<Submission> waiting = List.copyOf(queue);
    queue.clear();
    settle(ofBatch);
    waiting.forEach(s -> s.result().complete(CommitResult.DEPOSED));
    deposed.complete(null);
  }

  private void snapshotIfDue() {
    boolean due =
        entriesSinceSnapshot >= options.snapshotEntries()
            || bytesSinceSnapshot >= options.snapshotBytes();
    if (!due || snapshotting) {
      return;
    }
    snapshotting = true;
    entriesSinceSnapshot = 0;
    bytesSinceSnapshot = 0;
    log.writeSnapshot(new LogSnapshot(last, replica.save())).whenComplete(this::snapshotted);
  }

  private void snapshotted(SnapshotResult r, Throwable failure) {
    snapshotting = false;
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
