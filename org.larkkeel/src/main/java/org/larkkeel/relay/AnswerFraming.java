/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * How the end of an answer is told from its beginning and its middle.
 *
 * @since 0.1
 */
public enum AnswerFraming {
  /** The head tells the length of the body, or that there is none. */
  LENGTH,

  /** The body comes in chunks, of which the last one is marked. */
  CHUNKS,

  /** The body ends with the connection. */
  CONNECTION
}
