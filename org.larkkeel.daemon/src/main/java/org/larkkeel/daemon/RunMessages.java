/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import java.util.Optional;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.IdempotencyKey;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.peer.gen.WireClaimAnswer;
import org.larkkeel.peer.gen.WireClaimReply;
import org.larkkeel.peer.gen.WireRecordAnswer;
import org.larkkeel.peer.gen.WireRunAnswer;
import org.larkkeel.peer.gen.WireRunClaim;
import org.larkkeel.peer.gen.WireRunEnd;
import org.larkkeel.peer.gen.WireRunRecord;
import org.larkkeel.store.run.ClaimRequest;
import org.larkkeel.store.run.ClaimResult;
import org.larkkeel.store.run.RecordResult;
import org.larkkeel.store.run.RecordedAnswer;
import org.larkkeel.store.run.RunId;
import org.larkkeel.store.run.RunOutcome;
import org.larkkeel.store.run.RunToken;

/**
 * Converts between the types of the run log and the messages of peers. Stateless and safe for use
 * by several threads.
 */
final class RunMessages {
  private RunMessages() {}

  static WireRunClaim claim(ClaimRequest request) {
    return new WireRunClaim(
        request.key().workspace().value(),
        request.key().key().value(),
        request.bodyDigest(),
        request.token().toString());
  }

  /**
   * Converts a claim.
   *
   * @throws IllegalArgumentException if a field is malformed
   */
  static ClaimRequest claim(WireRunClaim wire) {
    return new ClaimRequest(
        newRunId(wire.getWorkspace(), wire.getKey()),
        wire.getBodyDigest(),
        RunToken.parse(wire.getToken()));
  }

  private static RunId newRunId(String workspace, String key) {
    return new RunId(new WorkspaceName(workspace), new IdempotencyKey(key));
  }

  static WireClaimReply reply(ClaimResult result) {
    return switch (result) {
      case ClaimResult.Claimed r -> new WireClaimReply(WireClaimAnswer.CLAIMED);
      case ClaimResult.AlreadyDone r -> alreadyDone(r);
      case ClaimResult.InProgress r -> new WireClaimReply(WireClaimAnswer.IN_PROGRESS);
      case ClaimResult.Unknown r -> new WireClaimReply(WireClaimAnswer.UNKNOWN);
      case ClaimResult.KeyReused r -> new WireClaimReply(WireClaimAnswer.KEY_REUSED);
      case ClaimResult.Unavailable r -> new WireClaimReply(WireClaimAnswer.UNAVAILABLE);
      case ClaimResult.NotOwner r -> new WireClaimReply(WireClaimAnswer.NOT_OWNER);
    };
  }

  private static WireClaimReply alreadyDone(ClaimResult.AlreadyDone result) {
    WireClaimReply reply = new WireClaimReply(WireClaimAnswer.ALREADY_DONE);
    result.answer().ifPresent(a -> reply.setRecorded(answer(a)));
    return reply;
  }

  static ClaimResult result(WireClaimReply reply, RunToken token) {
    Optional<HostName> unknownOwner = Optional.empty();
    return switch (reply.getAnswer()) {
      case CLAIMED -> new ClaimResult.Claimed(token);
      case ALREADY_DONE ->
          new ClaimResult.AlreadyDone(
              Optional.ofNullable(reply.getRecorded()).map(RunMessages::answer));
      case IN_PROGRESS -> new ClaimResult.InProgress();
      case UNKNOWN -> new ClaimResult.Unknown();
      case KEY_REUSED -> new ClaimResult.KeyReused();
      case UNAVAILABLE -> new ClaimResult.Unavailable();
      case NOT_OWNER -> new ClaimResult.NotOwner(unknownOwner);
    };
  }

  static WireRunRecord record(RunId key, RunToken token, RunOutcome outcome) {
    WireRunRecord wire =
        new WireRunRecord(
            key.workspace().value(), key.key().value(), token.toString(), wireEnd(outcome));
    if (outcome instanceof RunOutcome.Answered answered) {
      wire.setAnswer(answer(answered.answer()));
    }
    return wire;
  }

  private static WireRunEnd wireEnd(RunOutcome outcome) {
    return switch (outcome) {
      case RunOutcome.Answered o -> WireRunEnd.ANSWERED;
      case RunOutcome.NotRun o -> WireRunEnd.NOT_RUN;
      case RunOutcome.Unknown o -> WireRunEnd.UNKNOWN;
    };
  }

  static RunId runId(WireRunRecord wire) {
    return newRunId(wire.getWorkspace(), wire.getKey());
  }

  /**
   * Converts the outcome of a run.
   *
   * @throws IllegalArgumentException if the answer is missing
   */
  static RunOutcome outcome(WireRunRecord wire) {
    return switch (wire.getOutcome()) {
      case ANSWERED -> {
        if (wire.getAnswer() == null) {
          throw new IllegalArgumentException("the record of an answered run has no answer");
        }
        yield new RunOutcome.Answered(answer(wire.getAnswer()));
      }
      case NOT_RUN -> new RunOutcome.NotRun();
      case UNKNOWN -> new RunOutcome.Unknown();
    };
  }

  static WireRecordAnswer recorded(RecordResult result) {
    return WireRecordAnswer.valueOf(result.name());
  }

  static RecordResult recorded(WireRecordAnswer wire) {
    return RecordResult.valueOf(wire.name());
  }

  private static WireRunAnswer answer(RecordedAnswer answer) {
    return new WireRunAnswer(
        answer.status(), answer.contentType(), java.nio.ByteBuffer.wrap(answer.body()));
  }

  private static RecordedAnswer answer(WireRunAnswer wire) {
    return new RecordedAnswer(wire.getStatus(), wire.getContentType(), wire.getBody());
  }
}
