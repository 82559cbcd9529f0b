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
 * What the adapter keeps of one request in progress.
 *
 * <p>Safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface RequestRecord permits CompletionRecord, PlainRecord {
  /**
   * The request as the reducer sees it.
   *
   * @return the call
   */
  Call call();

  /**
   * The id of the request as the caller knows it.
   *
   * @return the value of {@code X-Request-Id}
   */
  String wireId();

  /**
   * The way back to the caller.
   *
   * @return the channel
   */
  CallerChannel channel();

  /**
   * The whole answer of an attempt.
   *
   * @param attempt the attempt
   * @return the answer; empty unless that attempt was the last to complete it
   */
  Optional<RecordedAnswer> answer(AttemptId attempt);

  /**
   * Ends the answer to the caller.
   *
   * @param attempt the attempt whose answer counts
   */
  void complete(AttemptId attempt);

  /**
   * Answers with what an earlier run recorded.
   *
   * @param recorded the recorded answer
   */
  void replay(RecordedAnswer recorded);

  /**
   * Answers with an error.
   *
   * @param problem the error
   */
  default void refuse(Problem problem) {
    channel().refuse(problem);
  }
}
