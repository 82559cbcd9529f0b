/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * How an answer of an upstream ended once its head had been read.
 *
 * @since 0.1
 */
public enum AnswerEnd {
  /** The answer is complete, as far as its framing tells. */
  COMPLETE,

  /** The connection was closed within an event of a stream, or before the first one. */
  PARTIAL_EVENT,

  /** The connection failed. */
  CONNECTION_LOST,

  /** The connection was closed, and the upstream no longer listens: its process has ended. */
  UPSTREAM_ENDED
}
