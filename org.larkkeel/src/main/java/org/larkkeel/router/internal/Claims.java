/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import java.util.concurrent.TimeUnit;
import org.larkkeel.effect.Effect;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.event.ClaimOutcome;
import org.larkkeel.event.Exposure;
import org.larkkeel.lib.AttemptId;

/**
 * Claims at-most-once runs durably before anything is sent to an upstream.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Claims {
  private static final long RETRY_AFTER_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Core core;

  Claims(Core core) {
    this.core = core;
  }

  void claim(RequestState request) {
    Attempt attempt = core.attempts.create(request, null, AttemptKind.CLAIM, core.context.now());
    request.claim = attempt;
    request.stage = RequestStage.RECEIVED;
    core.queueing.setTimer(request);
    core.context.emit(
        new Effect.ClaimRun(
            attempt.id,
            request.id(),
            request.call.workspace(),
            request.call.runKey().orElseThrow()));
  }

  /**
   * Handles the answer to a claim.
   *
   * @param attempt the claim attempt
   * @param outcome the answer
   */
  public void settled(Attempt attempt, ClaimOutcome outcome) {
    RequestState request = attempt.request;
    if (request.stage != RequestStage.RECEIVED) {
      return;
    }
    switch (outcome) {
      case CLAIMED -> {
        request.claimed = true;
        core.queueing.enqueue(request);
      }
      case ALREADY_DONE -> core.endings.replay(request, attempt);
      case IN_PROGRESS ->
          core.endings.refuse(
              request, ErrorKind.IN_PROGRESS, RETRY_AFTER_NANOS, "Another node runs this key.");
      case UNKNOWN ->
          core.endings.refuse(
              request, ErrorKind.UNKNOWN_OUTCOME, 0, "An earlier run of this key broke off.");
      case KEY_REUSED ->
          core.endings.refuse(
              request, ErrorKind.KEY_REUSED, 0, "The key came with another body before.");
      default ->
          core.endings.refuse(
              request,
              ErrorKind.STORE_UNAVAILABLE,
              RETRY_AFTER_NANOS,
              "The run can't be recorded.");
    }
  }

  /**
   * Handles the failure of a claim.
   *
   * @param attempt the claim attempt
   * @param exposure how far the claim got, which decides whether it may have taken effect
   */
  public void failed(Attempt attempt, Exposure exposure) {
    if (exposure == Exposure.MAY_HAVE_RUN) {
      settled(attempt, ClaimOutcome.IN_PROGRESS);
    } else {
      settled(attempt, ClaimOutcome.UNAVAILABLE);
    }
  }

  /**
   * Handles the answer to a claim whose request has ended: releases the claim if it was granted.
   *
   * @param attempt the id of the claim attempt
   * @param former the data kept of the attempt
   * @param outcome the answer
   */
  public void settledLate(
      AttemptId attempt, AttemptTable.FormerAttempt former, ClaimOutcome outcome) {
    if (outcome == ClaimOutcome.CLAIMED && former.kind() == AttemptKind.CLAIM) {
      core.endings.releaseClaim(former, attempt);
    }
  }
}
