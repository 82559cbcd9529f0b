/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import com.google.common.collect.ImmutableList;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.larkkeel.config.Change;
import org.larkkeel.config.Changes;
import org.larkkeel.config.Checked;
import org.larkkeel.config.Configuration;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;
import org.larkkeel.http.operator.AuditPage;
import org.larkkeel.http.operator.DryRun;
import org.larkkeel.http.operator.ProposalOutcome;
import org.larkkeel.lib.Revision;
import org.larkkeel.peer.ConfigContent;
import org.larkkeel.peer.ConfigSource;
import org.larkkeel.peer.PeerNode;
import org.larkkeel.peer.membership.Member;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.config.AuditEntry;
import org.larkkeel.store.config.ConfigStore;
import org.larkkeel.store.config.ProposeResult;
import org.larkkeel.store.log.LogSnapshot;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves the configuration log to operators and peers.
 *
 * <p>If a peer has a newer revision that the store has not delivered after {@link #PULL_DELAY}, it
 * is pulled from the peer, so that configurations still spread during an outage of the store. Safe
 * for use by several threads.
 */
final class ConfigLog implements ChangeLog, ConfigSource {
  private static final Logger log = LoggerFactory.getLogger(ConfigLog.class);
  private static final Duration PULL_DELAY = Duration.ofMillis(400);
  private static final long SAVE_TIMEOUT_SECONDS = 2;
  private static final int MAX_SNAPSHOT_BYTES = 64 << 20;

  private final ConfigStore store;
  private final NodeConfiguration configuration;
  private final Scheduler scheduler;
  private final AtomicBoolean pulling = new AtomicBoolean();

  ConfigLog(ConfigStore store, NodeConfiguration configuration, Scheduler scheduler) {
    this.store = store;
    this.configuration = configuration;
    this.scheduler = scheduler;
  }

  @Override
  public CompletableFuture<ProposalOutcome> propose(Change change, DryRun dryRun) {
    return dryRun == DryRun.YES
        ? check(change)
        : store.propose(change).thenApply(ConfigLog::toOutcome);
  }

  /** Checks a change against the configuration in force on this node, without making it. */
  private CompletableFuture<ProposalOutcome> check(Change change) {
    Configuration current = configuration.current();
    return store
        .audit(change.base())
        .thenApply(
            since ->
                findConflict(change, since)
                    .orElseGet(() -> toCheckOutcome(Changes.apply(current, change), current)));
  }

  private static java.util.Optional<ProposalOutcome> findConflict(
      Change change, ImmutableList<AuditEntry> since) {
    return Changes.findConflict(change, since.stream().map(AuditEntry::change).toList())
        .flatMap(
            other -> since.stream().filter(e -> e.change().id().equals(other.id())).findFirst())
        .map(e -> new ProposalOutcome.Conflicting(e.change(), e.revision()));
  }

  private static ProposalOutcome toCheckOutcome(
      Checked<Configuration> result, Configuration current) {
    return switch (result) {
      case Checked.Valid<Configuration> v ->
          new ProposalOutcome.Accepted(current.revision(), v.warnings());
      case Checked.Invalid<Configuration> i -> new ProposalOutcome.Refused(i.problems());
    };
  }

  private static ProposalOutcome toOutcome(ProposeResult result) {
    return switch (result) {
      case ProposeResult.Accepted r -> new ProposalOutcome.Accepted(r.revision(), r.warnings());
      case ProposeResult.Conflict r ->
          new ProposalOutcome.Conflicting(r.other().change(), r.other().revision());
      case ProposeResult.Invalid r -> new ProposalOutcome.Refused(r.problems());
      case ProposeResult.Unavailable r ->
          throw new LarkkeelException(
              ErrorKind.STORE_UNAVAILABLE, "The change was not accepted: the store is down.");
      case ProposeResult.OutcomeUnknown r ->
          throw new LarkkeelException(
              ErrorKind.UNKNOWN_OUTCOME,
              "The store's answer was lost: propose the change again with the same id.");
    };
  }

  @Override
  public CompletableFuture<AuditPage> audit(Revision from, int limit) {
    Revision after = new Revision(Math.max(0, from.value() - 1));
    return store.audit(after).thenApply(entries -> toPage(entries, after, limit));
  }

  private static AuditPage toPage(ImmutableList<AuditEntry> entries, Revision after, int limit) {
    ImmutableList<AuditPage.Entry> page =
        entries.stream()
            .limit(limit)
            .map(e -> new AuditPage.Entry(e.revision(), e.change()))
            .collect(ImmutableList.toImmutableList());
    Revision last = page.isEmpty() ? after : page.getLast().revision();
    return new AuditPage(page, new Revision(last.value() + 1));
  }

  /**
   * Returns the complete configuration log as a compressed snapshot, or no content if {@code from}
   * is up to date. Blocks, so it is called on a thread that may wait.
   */
  @Override
  public ConfigContent after(Revision from) {
    if (!configuration.revision().isAfter(from)) {
      return new ConfigContent(from, new byte[0], false);
    }
    try {
      LogSnapshot snapshot = store.save().get(SAVE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
      return new ConfigContent(
          new Revision(snapshot.through()), compress(snapshot.content()), false);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(
          "interrupted while saving a snapshot of the configuration", e);
    } catch (ExecutionException | TimeoutException e) {
      throw new IllegalStateException("no snapshot of the configuration could be saved", e);
    }
  }

  /** Schedules a pull of a peer's newer revision, in case the store does not deliver it first. */
  void schedulePull(PeerNode peers, Member peer, Revision revision) {
    scheduler.schedule(PULL_DELAY, () -> pull(peers, peer, revision));
  }

  private void pull(PeerNode peers, Member peer, Revision revision) {
    if (!revision.isAfter(configuration.revision()) || !pulling.compareAndSet(false, true)) {
      return;
    }
    CompletableFuture<?> unused =
        peers
            .pullConfig(peer.address(), configuration.revision())
            .whenComplete((content, failure) -> onPulled(peer, content, failure));
  }

  private void onPulled(Member peer, ConfigContent content, Throwable failure) {
    pulling.set(false);
    if (failure != null) {
      log.warn("event=pull_failed peer={} cause=\"{}\"", peer.id(), failure.getMessage());
    } else if (content.revision().isAfter(configuration.revision())) {
      try {
        store.offer(new LogSnapshot(content.revision().value(), decompress(content.bytes())));
        log.info("event=configuration_pulled peer={} revision={}", peer.id(), content.revision());
      } catch (IOException e) {
        log.warn("event=pull_unreadable peer={}", peer.id(), e);
      }
    }
  }

  private static byte[] compress(byte[] bytes) {
    ByteArrayOutputStream compressed = new ByteArrayOutputStream();
    try (GZIPOutputStream out = new GZIPOutputStream(compressed)) {
      out.write(bytes);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return compressed.toByteArray();
  }

  private static byte[] decompress(byte[] compressed) throws IOException {
    try (GZIPInputStream in = new GZIPInputStream(new ByteArrayInputStream(compressed))) {
      byte[] bytes = in.readNBytes(MAX_SNAPSHOT_BYTES);
      if (in.read() >= 0) {
        throw new IOException(
            "the peer's configuration is larger than " + MAX_SNAPSHOT_BYTES + " bytes");
      }
      return bytes;
    }
  }
}
