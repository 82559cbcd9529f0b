/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * What a whole answer of an upstream says.
 *
 * @since 0.1
 */
public enum AnswerGrade {
  /** The call ran with success. */
  GOOD,

  /** The call ran and failed, or may have. */
  FAILED,

  /** The upstream can not accept such a call; none other would. */
  REJECTED
}
