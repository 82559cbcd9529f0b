/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

/**
 * What the head of an upstream's answer says.
 *
 * @since 0.1
 */
public enum AnswerVerdict {
  /** It ran with success. */
  GOOD,

  /** It ran, or may have, and failed. */
  FAILED,

  /** No upstream can accept such a request. */
  REJECTED,

  /** It has not run and never will. */
  NOT_RUN,

  /** Another upstream has the address; it has not run. */
  WRONG_UPSTREAM,

  /** No answer to this request, or none that may be passed on. */
  UNUSABLE
}
