/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * The result that a complete answer of an upstream reports.
 *
 * @since 0.1
 */
public enum AnswerGrade {
  /** The upstream ran the call successfully. */
  GOOD,

  /** The upstream ran the call, or may have run it, and it failed. */
  FAILED,

  /** The upstream can not accept this call, and no other upstream would accept it either. */
  REJECTED
}
