/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.request;

import org.larkkeel.http.Problem;

/**
 * The way back to one caller.
 *
 * <p>Safe for use by several threads; no method blocks. Everything after the end, or after the
 * caller has gone, is dropped. Bounded: a caller that takes the answer too slowly is cut off and
 * counts as gone.
 *
 * @since 0.1
 */
public interface CallerChannel {
  /**
   * Sends a whole answer and ends.
   *
   * @param answer the answer
   */
  void answer(RecordedAnswer answer);

  /**
   * Sends a part of a stream; the first part starts the answer.
   *
   * @param part the bytes, not to be changed afterwards
   */
  void stream(byte[] part);

  /** Ends a stream. */
  void endStream();

  /**
   * Ends with an error: a problem body, or an error event if the stream has started.
   *
   * @param problem the error
   */
  void refuse(Problem problem);

  /** Drops the connection without an answer. */
  void drop();
}
