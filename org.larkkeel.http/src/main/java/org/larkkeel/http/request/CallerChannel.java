/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.request;

import org.larkkeel.http.Problem;

/**
 * Sends the answer of one request to its caller.
 *
 * <p>Safe for use by several threads; no method blocks. Calls after the end of the answer, or after
 * the caller has disconnected, have no effect. Buffering is bounded: the connection of a caller
 * that reads too slowly is closed, and the caller counts as gone.
 *
 * @since 0.1
 */
public interface CallerChannel {
  /**
   * Sends a complete answer.
   *
   * @param answer the answer
   */
  void answer(RecordedAnswer answer);

  /**
   * Sends a part of a streamed answer; the first part starts the answer.
   *
   * @param part the bytes; must not be modified afterwards
   */
  void stream(byte[] part);

  /** Ends a streamed answer normally. */
  void endStream();

  /**
   * Ends the answer with an error: a problem body, or an error event if a stream has started.
   *
   * @param problem the error
   */
  void refuse(Problem problem);

  /** Closes the connection without completing the answer. */
  void drop();
}
