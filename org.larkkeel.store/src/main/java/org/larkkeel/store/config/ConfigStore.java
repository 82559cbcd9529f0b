/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.larkkeel.config.Change;
import org.larkkeel.config.ChangeCodec;
import org.larkkeel.config.Changes;
import org.larkkeel.config.Checked;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.Problems;
import org.larkkeel.lib.Revision;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.log.AppendResult;
import org.larkkeel.store.log.LogEntry;
import org.larkkeel.store.log.LogFollower;
import org.larkkeel.store.log.LogSnapshot;
import org.larkkeel.store.log.ObjectLog;
import org.larkkeel.store.log.PriorAttempt;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The configuration on an append-only log. The number of an entry is the revision; the log is the
 * audit trail.
 *
 * <p>Invariants: the revision in force on this node never decreases; a change is accepted at most
 * once, however often it is proposed with the same id, as long as it is in the audit trail; each
 * accepted change was validated against exactly the preceding revision. Thread-safe: the state is
 * confined to the scheduler.
 *
 * @since 0.1
 */
public final class ConfigStore implements AutoCloseable {
  /** The name of the log. */
  public static final String LOG_NAME = "configlog";

  /** The number of changes between snapshots. */
  public static final int SNAPSHOT_ENTRIES = 64;

  private static final Logger LOG = LoggerFactory.getLogger(ConfigStore.class);
  private static final Duration PROPOSE_TIMEOUT = Duration.ofSeconds(10);

  private final ObjectLog log;
  private final Scheduler scheduler;
  private final Consumer<Configuration> listener;
  private final ConfigReplica replica = new ConfigReplica();
  private LogFollower follower;

  /**
   * Creates a store that is not started yet.
   *
   * @param log the log named {@link #LOG_NAME}
   * @param scheduler the log's scheduler
   * @param listener receives each configuration that comes into force, on the scheduler
   */
  public ConfigStore(ObjectLog log, Scheduler scheduler, Consumer<Configuration> listener) {
    this.log = log;
    this.scheduler = scheduler;
    this.listener = listener;
  }

  /** Starts to follow the log; called once, before any other method. */
  public void start() {
    scheduler.execute(() -> follower = log.follow(0, new ReplicaUpdater()));
  }

  /**
   * Proposes a change. It conflicts only with changes of the same objects that were accepted after
   * its base revision.
   *
   * @param change the change, with its author
   * @return the result; the future never fails
   */
  public CompletableFuture<ProposeResult> propose(Change change) {
    CompletableFuture<ProposeResult> result = new CompletableFuture<>();
    scheduler.execute(() -> new Proposal(change, result).refresh());
    return result;
  }

  /**
   * Lists accepted changes.
   *
   * @param after the revision after which changes are listed
   * @return the changes in order
   */
  public CompletableFuture<ImmutableList<AuditEntry>> audit(Revision after) {
    return onScheduler(() -> replica.audit(after));
  }

  /**
   * Returns a snapshot for a peer that cannot reach the store.
   *
   * @return the state at the revision in force
   */
  public CompletableFuture<LogSnapshot> save() {
    return onScheduler(
        () -> new LogSnapshot(replica.configuration().revision().value(), replica.save()));
  }

  /**
   * Adopts a peer's snapshot, unless it is older than the state in force.
   *
   * @param snapshot the result of {@link #save} on the peer
   */
  public void offer(LogSnapshot snapshot) {
    scheduler.execute(() -> follower.offer(snapshot));
  }

  /**
   * Returns the time of the store's last answer.
   *
   * @return the scheduler's time in nanoseconds
   */
  public CompletableFuture<Long> contactNanos() {
    return onScheduler(() -> follower.lastContactNanos());
  }

  @Override
  public void close() {
    scheduler.execute(() -> follower.close());
  }

  private <T> CompletableFuture<T> onScheduler(Supplier<T> read) {
    CompletableFuture<T> result = new CompletableFuture<>();
    scheduler.execute(() -> result.complete(read.get()));
    return result;
  }

  private void notifyIfChanged(Revision before) {
    if (replica.configuration().revision().isAfter(before)) {
      listener.accept(replica.configuration());
    }
    replica
        .unreadableRevision()
        .ifPresent(r -> LOG.error("event=configuration-unreadable revision={}", r));
  }

  private void snapshotIfDue(LogEntry e) {
    if (e.number() % SNAPSHOT_ENTRIES == 0) {
      log.writeSnapshot(new LogSnapshot(e.number(), replica.save()))
          .exceptionally(
              t -> {
                LOG.warn("event=snapshot-failed log={} cause=\"{}\"", LOG_NAME, t.getMessage());
                return null;
              });
    }
  }

  /** Applies the entries and snapshots of the follower to the replica. */
  private final class ReplicaUpdater implements LogFollower.Listener {
    @Override
    public void snapshot(LogSnapshot s) {
      Revision before = replica.configuration().revision();
      replica.restore(s);
      notifyIfChanged(before);
    }

    @Override
    public void entry(LogEntry e) {
      Revision before = replica.configuration().revision();
      replica.apply(e);
      notifyIfChanged(before);
    }
  }

  /** One proposed change until its result is known. */
  private final class Proposal {
    private final Change change;
    private final CompletableFuture<ProposeResult> result;
    private Problems warnings = Problems.NONE;
    private ProposeResult resultOfFailedRead = new ProposeResult.Unavailable();
    private final long deadlineNanos = scheduler.nanoTime() + PROPOSE_TIMEOUT.toNanos();

    Proposal(Change change, CompletableFuture<ProposeResult> result) {
      this.change = change;
      this.result = result;
    }

    /**
     * Reads the entries that were accepted since the last read, so that the change is validated
     * against the newest revision.
     */
    void refresh() {
      log.read(follower.last())
          .whenComplete(
              (view, failure) -> {
                if (failure != null) {
                  result.complete(resultOfFailedRead);
                  return;
                }
                resultOfFailedRead = new ProposeResult.Unavailable();
                view.snapshot().ifPresent(follower::offer);
                view.entries().forEach(follower::offer);
                evaluate();
              });
    }

    private void evaluate() {
      Optional<AuditEntry> accepted = replica.find(change.id());
      if (accepted.isPresent()) {
        accept(accepted.get().revision());
        return;
      }
      Optional<AuditEntry> conflict = conflict();
      if (conflict.isPresent()) {
        result.complete(new ProposeResult.Conflict(conflict.get()));
        return;
      }
      switch (Changes.apply(replica.configuration(), change)) {
        case Checked.Invalid<Configuration> i ->
            result.complete(new ProposeResult.Invalid(i.problems()));
        case Checked.Valid<Configuration> v -> {
          warnings = v.warnings();
          append(nextEntry(), PriorAttempt.NONE);
        }
      }
    }

    private Optional<AuditEntry> conflict() {
      List<AuditEntry> since = replica.audit(change.base());
      List<Change> changes = since.stream().map(AuditEntry::change).toList();
      return Changes.findConflict(change, changes).flatMap(c -> replica.find(c.id()));
    }

    private LogEntry nextEntry() {
      List<JsonNode> records = List.of(ChangeCodec.toJson(change));
      return LogEntry.records(follower.last() + 1, log.nextAppend(), records);
    }

    private void append(LogEntry e, PriorAttempt prior) {
      log.append(e).setPriorAttempt(prior).call().thenAccept(r -> appended(e, r));
    }

    private void appended(LogEntry e, AppendResult r) {
      switch (r) {
        case AppendResult.Appended a -> {
          follower.offer(e);
          accept(new Revision(e.number()));
          snapshotIfDue(e);
        }
        case AppendResult.PositionTaken l ->
            continueUntilDeadline(new ProposeResult.Unavailable(), this::refresh);
        case AppendResult.PositionTruncated f -> {
          resultOfFailedRead = new ProposeResult.OutcomeUnknown();
          continueUntilDeadline(resultOfFailedRead, this::refresh);
        }
        case AppendResult.NotAppended n -> result.complete(new ProposeResult.Unavailable());
        case AppendResult.Unresolved u ->
            continueUntilDeadline(
                new ProposeResult.OutcomeUnknown(), () -> append(e, PriorAttempt.UNRESOLVED));
      }
    }

    private void continueUntilDeadline(ProposeResult afterDeadline, Runnable step) {
      if (scheduler.nanoTime() - deadlineNanos >= 0) {
        result.complete(afterDeadline);
      } else {
        step.run();
      }
    }

    private void accept(Revision revision) {
      result.complete(new ProposeResult.Accepted(revision, warnings));
    }
  }
}
