/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * Whose id an answer of an upstream echoes.
 *
 * @since 0.1
 */
public enum AnswerEcho {
  /** The id of the call to which the answer was read. */
  OWN,

  /** Another id: the answer belongs to an earlier request on the connection. */
  OTHER,

  /** No id. */
  NONE
}
