/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;
import org.larkkeel.lib.HostName;
import org.larkkeel.peer.PeerNode;
import org.larkkeel.peer.PeerView;
import org.larkkeel.peer.RunService;
import org.larkkeel.peer.gen.WireClaimReply;
import org.larkkeel.peer.gen.WireRecordAnswer;
import org.larkkeel.peer.gen.WireRunClaim;
import org.larkkeel.peer.gen.WireRunRecord;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.run.ClaimRequest;
import org.larkkeel.store.run.ClaimResult;
import org.larkkeel.store.run.RecordResult;
import org.larkkeel.store.run.RunId;
import org.larkkeel.store.run.RunLog;
import org.larkkeel.store.run.RunOutcome;
import org.larkkeel.store.run.RunToken;

/**
 * The run records of all nodes: serves those that this node owns and forwards calls for others to
 * the peers that own them.
 *
 * <p>The members are passed to the run log periodically, also when they have not changed, since
 * only then does it take back a shard that another node took over by mistake. Safe for use by
 * several threads.
 */
final class RunRecords implements RunOwners, RunService, AutoCloseable {
  private static final Duration MEMBER_UPDATE_INTERVAL = Duration.ofMillis(250);

  /** A node that no peer has answered within this time considers itself the only one. */
  private static final Duration JOIN_TIMEOUT = Duration.ofMillis(1_500);

  private final HostName self;
  private final RunLog log;
  private final Scheduler scheduler;
  private volatile Optional<PeerNode> peers = Optional.empty();
  private volatile boolean closed;

  RunRecords(HostName self, RunLog log, Scheduler scheduler) {
    this.self = self;
    this.log = log;
    this.scheduler = scheduler;
  }

  /** Starts to own records and to call peers. */
  void start(PeerNode node) {
    peers = Optional.of(node);
    long joinDeadlineNanos = scheduler.nanoTime() + JOIN_TIMEOUT.toNanos();
    scheduler.schedule(MEMBER_UPDATE_INTERVAL, () -> updateMembers(node, joinDeadlineNanos));
  }

  private void updateMembers(PeerNode node, long joinDeadlineNanos) {
    if (closed) {
      return;
    }
    PeerView view = node.view();
    if (view.joined() || scheduler.nanoTime() - joinDeadlineNanos >= 0) {
      log.setMembers(ImmutableSet.copyOf(view.owners()));
    }
    scheduler.schedule(MEMBER_UPDATE_INTERVAL, () -> updateMembers(node, joinDeadlineNanos));
  }

  @Override
  public CompletableFuture<ClaimResult> claim(ClaimRequest request) {
    Optional<HostName> owner = log.ownerOf(request.key());
    if (owner.isEmpty()) {
      return CompletableFuture.completedFuture(new ClaimResult.Unavailable());
    }
    if (owner.get().equals(self)) {
      return log.claim(request);
    }
    return peer()
        .claimRun(owner.get(), RunMessages.claim(request))
        .thenApply(reply -> RunMessages.result(reply, request.token()));
  }

  @Override
  public CompletableFuture<WireClaimReply> claim(WireRunClaim claim) {
    return log.claim(RunMessages.claim(claim)).thenApply(RunMessages::reply);
  }

  @Override
  public CompletableFuture<RecordResult> record(RunId key, RunToken token, RunOutcome outcome) {
    Optional<HostName> owner = log.ownerOf(key);
    if (owner.isEmpty()) {
      return CompletableFuture.completedFuture(RecordResult.UNAVAILABLE);
    }
    if (owner.get().equals(self)) {
      return log.record(key, token, outcome);
    }
    return peer()
        .recordRun(owner.get(), RunMessages.record(key, token, outcome))
        .thenApply(RunMessages::recorded);
  }

  @Override
  public CompletableFuture<WireRecordAnswer> record(WireRunRecord end) {
    return log.record(
            RunMessages.runId(end), RunToken.parse(end.getToken()), RunMessages.outcome(end))
        .thenApply(RunMessages::recorded);
  }

  private PeerNode peer() {
    return peers.orElseThrow(
        () -> new LarkkeelException(ErrorKind.NOT_READY, "the node has not joined its peers"));
  }

  @Override
  public void close() {
    closed = true;
    log.close();
  }
}
