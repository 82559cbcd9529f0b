/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

/**
 * When a request is given up.
 *
 * @param kind what the time limits
 * @param nanos the limit, nanoseconds, at least 1
 * @since 0.1
 */
public record AnswerTimeout(Kind kind, long nanos) {
  /** What a timeout limits. */
  public enum Kind {
    /** The time from the start to the end of the answer. */
    WHOLE_ANSWER,
    /** The longest time in which nothing arrives. */
    SILENCE
  }

  /**
   * Limits the whole answer.
   *
   * @param nanos nanoseconds from the start
   * @return the timeout
   */
  public static AnswerTimeout whole(long nanos) {
    return new AnswerTimeout(Kind.WHOLE_ANSWER, nanos);
  }

  /**
   * Limits the silence between parts of an answer.
   *
   * @param nanos nanoseconds without a byte
   * @return the timeout
   */
  public static AnswerTimeout silence(long nanos) {
    return new AnswerTimeout(Kind.SILENCE, nanos);
  }
}
