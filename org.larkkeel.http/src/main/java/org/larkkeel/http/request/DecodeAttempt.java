/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.request;

import org.larkkeel.event.Event;
import org.larkkeel.http.request.Attempts.Running;
import org.larkkeel.http.upstream.Token;
import org.larkkeel.http.upstream.TokenStream;
import org.larkkeel.http.upstream.UpstreamFailure;
import org.larkkeel.lib.AttemptId;

/**
 * Passes the tokens of one decode attempt on.
 *
 * <p>Used on one I/O thread.
 */
final class DecodeAttempt implements TokenStream {
  private final Attempts attempts;
  private final AttemptId attempt;
  private final Running step;
  private final CompletionRecord request;
  private boolean passedOne;

  DecodeAttempt(Attempts attempts, AttemptId attempt, Running step, CompletionRecord request) {
    this.attempts = attempts;
    this.attempt = attempt;
    this.step = step;
    this.request = request;
  }

  @Override
  public boolean onToken(Token token) {
    CompletionRecord.Passed passed = request.pass(attempt, token);
    if (passed == CompletionRecord.Passed.YES && !passedOne) {
      passedOne = true;
      attempts.tell(at -> new Event.FirstToken(at, attempt));
    }
    return passed != CompletionRecord.Passed.GAP;
  }

  @Override
  public void onDone() {
    request.finish(attempt);
    attempts.end(attempt, step, at -> new Event.DecodeDone(at, attempt, request.tokens()));
  }

  @Override
  public void onFailure(UpstreamFailure failure) {
    request.stop(attempt);
    attempts.fail(attempt, step, failure, request.tokens());
  }
}
