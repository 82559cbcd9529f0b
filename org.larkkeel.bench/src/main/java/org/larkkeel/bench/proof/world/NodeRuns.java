/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.world;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.larkkeel.call.RunKey;
import org.larkkeel.effect.Effect;
import org.larkkeel.event.ClaimOutcome;
import org.larkkeel.event.RecordOutcome;
import org.larkkeel.http.upstream.EngineRequestId;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.store.log.WriterId;
import org.larkkeel.store.run.ClaimRequest;
import org.larkkeel.store.run.ClaimResult;
import org.larkkeel.store.run.RecordResult;
import org.larkkeel.store.run.RecordedAnswer;
import org.larkkeel.store.run.RunId;
import org.larkkeel.store.run.RunLog;
import org.larkkeel.store.run.RunLogOptions;
import org.larkkeel.store.run.RunOutcome;
import org.larkkeel.store.run.RunToken;

/**
 * Claims and records the runs of one node, at the node that owns the run's shard.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class NodeRuns {
  private static final long RETRY_DELAY_NANOS = 200 * VirtualTime.MILLI;
  private static final long CLAIM_TIMEOUT_NANOS = 4 * VirtualTime.SECOND;
  private static final long RECORD_TIMEOUT_NANOS = 40 * VirtualTime.SECOND;
  private static final int STATUS_OK = 200;

  private final World world;
  private final Node node;
  private final WriterId self;
  private final RunLog log;

  /**
   * The claim token of each request. A run is recorded under the token of its claim, even if a
   * later attempt ran it.
   */
  private final Map<RequestId, RunToken> tokens = new HashMap<>();

  /**
   * The result of a claim: its outcome, empty if unknown, and the recorded answer if there is one.
   */
  record Claim(Optional<ClaimOutcome> outcome, Optional<String> answer) {
    private static Claim of(ClaimOutcome outcome) {
      return new Claim(Optional.of(outcome), Optional.empty());
    }
  }

  NodeRuns(World world, Node node, long seed) {
    this.world = world;
    this.node = node;
    this.self = new WriterId(node.host, node.incarnation);
    this.log =
        new RunLog(
            new StoreClient(world, node.process),
            self,
            node.process,
            new Random(seed),
            RunLogOptions.DEFAULT,
            writer -> !isDead(writer));
  }

  void ownersChanged() {
    log.setMembers(node.peers().owners());
  }

  /**
   * Claims a run. The result has no outcome if the owner received the claim and did not answer in
   * time.
   */
  void claim(Effect.ClaimRun effect, Consumer<Claim> done) {
    ClaimRequest request =
        new ClaimRequest(
            id(effect.workspace(), effect.key()),
            Long.toHexString(effect.key().bodyDigest()),
            new RunToken(self, effect.attempt()));
    tokens.put(effect.request(), request.token());
    new ClaimCall(request, done).start();
  }

  /** Records the outcome of a run, with retries until {@link #RECORD_TIMEOUT_NANOS} have passed. */
  void record(Effect.RecordRun effect, String answer, Consumer<RecordOutcome> done) {
    RunOutcome outcome =
        switch (effect.result()) {
          case DONE ->
              new RunOutcome.Answered(
                  new RecordedAnswer(
                      STATUS_OK, "text/plain", answer.getBytes(StandardCharsets.UTF_8)));
          case NOT_RUN -> new RunOutcome.NotRun();
          case UNKNOWN -> new RunOutcome.Unknown();
        };
    RunToken token = tokens.get(effect.request());
    new RecordCall(id(effect.workspace(), effect.key()), token, outcome, done).attempt();
  }

  private static RunId id(WorkspaceName workspace, RunKey key) {
    return new RunId(workspace, key.key());
  }

  private boolean isDead(WriterId writer) {
    return node.peers().isDead(new EngineRequestId.Origin(writer.host(), writer.incarnation()));
  }

  /** One claim with its retries. */
  private final class ClaimCall {
    private final ClaimRequest request;
    private final Consumer<Claim> done;
    private final long deadline = world.time().now() + CLAIM_TIMEOUT_NANOS;
    private boolean settled;
    private boolean sentToPeer;

    ClaimCall(ClaimRequest request, Consumer<Claim> done) {
      this.request = request;
      this.done = done;
    }

    void start() {
      node.process.at(deadline, this::timeOut);
      sendClaim();
    }

    private void sendClaim() {
      if (!settled) {
        log.claim(request).thenAccept(this::onResult);
      }
    }

    private void onResult(ClaimResult result) {
      if (result instanceof ClaimResult.NotOwner notOwner) {
        notOwner.owner().flatMap(world::nodeOn).ifPresent(this::sendToOwner);
        node.process.after(RETRY_DELAY_NANOS, this::sendClaim);
      } else {
        settle(claimOf(result));
      }
    }

    private void sendToOwner(Node owner) {
      sentToPeer = true;
      world
          .peerFaults()
          .send(
              owner.process,
              () -> owner.runs().log.claim(request).thenAccept(r -> answerFrom(owner, r)));
    }

    private void answerFrom(Node owner, ClaimResult result) {
      if (owner.process.isDead() || result instanceof ClaimResult.NotOwner) {
        return;
      }
      world.peerFaults().send(node.process, () -> settle(claimOf(result)));
    }

    private void timeOut() {
      settle(
          sentToPeer
              ? new Claim(Optional.empty(), Optional.empty())
              : Claim.of(ClaimOutcome.UNAVAILABLE));
    }

    private void settle(Claim claim) {
      if (!settled) {
        settled = true;
        done.accept(claim);
      }
    }
  }

  private static Claim claimOf(ClaimResult result) {
    return switch (result) {
      case ClaimResult.Claimed claimed -> Claim.of(ClaimOutcome.CLAIMED);
      case ClaimResult.AlreadyDone known ->
          new Claim(
              Optional.of(ClaimOutcome.ALREADY_DONE),
              known.answer().map(a -> new String(a.body(), StandardCharsets.UTF_8)));
      case ClaimResult.InProgress running -> Claim.of(ClaimOutcome.IN_PROGRESS);
      case ClaimResult.Unknown unknown -> Claim.of(ClaimOutcome.UNKNOWN);
      case ClaimResult.KeyReused reused -> Claim.of(ClaimOutcome.KEY_REUSED);
      case ClaimResult.Unavailable unavailable -> Claim.of(ClaimOutcome.UNAVAILABLE);
      case ClaimResult.NotOwner notOwner ->
          throw new IllegalStateException(
              "a claim answered with NotOwner has to be sent to the owner");
    };
  }

  /** One record of a run's outcome with its retries. */
  private final class RecordCall {
    private final RunId id;
    private final RunToken token;
    private final RunOutcome outcome;
    private final Consumer<RecordOutcome> done;
    private final long deadline = world.time().now() + RECORD_TIMEOUT_NANOS;
    private boolean settled;

    RecordCall(RunId id, RunToken token, RunOutcome outcome, Consumer<RecordOutcome> done) {
      this.id = id;
      this.token = token;
      this.outcome = outcome;
      this.done = done;
    }

    void attempt() {
      Optional<HostName> owner = log.ownerOf(id);
      Node ownerNode = owner.flatMap(world::nodeOn).orElse(node);
      if (ownerNode == node) {
        log.record(id, token, outcome).thenAccept(this::onResult);
      } else {
        sendToOwner(ownerNode);
      }
      node.process.after(RETRY_DELAY_NANOS, this::retry);
    }

    private void sendToOwner(Node ownerNode) {
      world
          .peerFaults()
          .send(
              ownerNode.process,
              () ->
                  ownerNode
                      .runs()
                      .log
                      .record(id, token, outcome)
                      .thenAccept(r -> answerFrom(ownerNode, r)));
    }

    private void answerFrom(Node ownerNode, RecordResult result) {
      if (!ownerNode.process.isDead()) {
        world.peerFaults().send(node.process, () -> onResult(result));
      }
    }

    private void retry() {
      if (settled) {
        return;
      }
      if (world.time().now() >= deadline) {
        settle(RecordOutcome.FAILED);
      } else {
        attempt();
      }
    }

    private void onResult(RecordResult result) {
      switch (result) {
        case RECORDED -> settle(RecordOutcome.RECORDED);
        case NO_SUCH_RUN -> settle(RecordOutcome.FAILED);
        default -> {}
      }
    }

    private void settle(RecordOutcome result) {
      if (!settled) {
        settled = true;
        done.accept(result);
      }
    }
  }
}
