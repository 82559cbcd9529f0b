/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.request;

import org.larkkeel.event.Event;
import org.larkkeel.http.request.Attempts.RunningStep;
import org.larkkeel.http.upstream.Token;
import org.larkkeel.http.upstream.TokenHandler;
import org.larkkeel.http.upstream.UpstreamFailure;
import org.larkkeel.lib.AttemptId;

/**
 * Forwards the tokens of one decode attempt to the caller and submits its events.
 *
 * <p>Confined to one I/O thread.
 */
final class DecodeAttempt implements TokenHandler {
  private final Attempts attempts;
  private final AttemptId attempt;
  private final RunningStep step;
  private final CompletionRecord request;
  private boolean firstTokenReported;

  DecodeAttempt(Attempts attempts, AttemptId attempt, RunningStep step, CompletionRecord request) {
    this.attempts = attempts;
    this.attempt = attempt;
    this.step = step;
    this.request = request;
  }

  @Override
  public boolean onToken(Token token) {
    CompletionRecord.ForwardResult result = request.forward(attempt, token);
    if (result == CompletionRecord.ForwardResult.FORWARDED && !firstTokenReported) {
      firstTokenReported = true;
      attempts.submit(at -> new Event.FirstToken(at, attempt));
    }
    return result != CompletionRecord.ForwardResult.GAP;
  }

  @Override
  public void onDone() {
    request.markComplete(attempt);
    attempts.end(attempt, step, at -> new Event.DecodeDone(at, attempt, request.tokenCount()));
  }

  @Override
  public void onFailure(UpstreamFailure failure) {
    request.dropFurtherTokens(attempt);
    attempts.fail(attempt, step, failure, request.tokenCount());
  }
}
