/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.request;

import java.util.Optional;
import org.larkkeel.call.Call;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.http.Problem;
import org.larkkeel.http.upstream.UpstreamRequest;
import org.larkkeel.lib.AttemptId;

/**
 * A plain call in progress.
 *
 * <p>Invariant: only the answer of the attempt that was started last is stored. Safe for use by
 * several threads.
 *
 * @since 0.1
 */
public final class PlainRecord implements RequestRecord {
  private final Call.Plain call;
  private final String wireId;
  private final CallerChannel channel;
  private final UpstreamRequest request;
  private AttemptId current;
  private RecordedAnswer answer;

  /**
   * Creates a record.
   *
   * @param call the call
   * @param wireId the id of the request as the caller knows it
   * @param channel sends the answer to the caller
   * @param request the request to send to a service, without the request id
   */
  public PlainRecord(
      Call.Plain call, String wireId, CallerChannel channel, UpstreamRequest request) {
    this.call = call;
    this.wireId = wireId;
    this.channel = channel;
    this.request = request;
  }

  @Override
  public Call.Plain call() {
    return call;
  }

  @Override
  public String wireId() {
    return wireId;
  }

  @Override
  public CallerChannel channel() {
    return channel;
  }

  UpstreamRequest request() {
    return request;
  }

  synchronized void makeCurrent(AttemptId attempt) {
    current = attempt;
    answer = null;
  }

  synchronized void storeAnswer(AttemptId attempt, RecordedAnswer received) {
    if (attempt.equals(current)) {
      answer = received;
    }
  }

  @Override
  public synchronized Optional<RecordedAnswer> answer(AttemptId attempt) {
    return attempt.equals(current) ? Optional.ofNullable(answer) : Optional.empty();
  }

  @Override
  public void complete(AttemptId attempt) {
    answer(attempt)
        .ifPresentOrElse(
            channel::answer,
            () ->
                channel.refuse(
                    Problem.of(ErrorKind.INTERNAL, "The answer is not at hand.", wireId)));
  }

  @Override
  public void replay(RecordedAnswer recorded) {
    channel.answer(recorded);
  }
}
