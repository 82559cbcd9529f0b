/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.request;

import java.util.Optional;
import org.larkkeel.call.Call;
import org.larkkeel.http.Problem;
import org.larkkeel.lib.AttemptId;

/**
 * The state of one request in progress, outside the reducer.
 *
 * <p>Safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface RequestRecord permits CompletionRecord, PlainRecord {
  /**
   * Returns the request as the reducer sees it.
   *
   * @return the call
   */
  Call call();

  /**
   * Returns the id of the request as the caller knows it.
   *
   * @return the value of {@code X-Request-Id}
   */
  String wireId();

  /**
   * Returns the channel to the caller.
   *
   * @return the channel
   */
  CallerChannel channel();

  /**
   * Returns the complete answer of an attempt.
   *
   * @param attempt the attempt
   * @return the answer; empty if it is incomplete or not kept, or if a later attempt has started
   */
  Optional<RecordedAnswer> answer(AttemptId attempt);

  /**
   * Completes the answer to the caller.
   *
   * @param attempt the attempt whose answer is delivered
   */
  void complete(AttemptId attempt);

  /**
   * Answers the caller with the recorded answer of an earlier run.
   *
   * @param recorded the recorded answer
   */
  void replay(RecordedAnswer recorded);

  /**
   * Answers the caller with an error.
   *
   * @param problem the error
   */
  default void refuse(Problem problem) {
    channel().refuse(problem);
  }
}
