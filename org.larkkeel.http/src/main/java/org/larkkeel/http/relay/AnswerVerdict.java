/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

/**
 * The classification of an upstream's answer by its status and headers.
 *
 * @since 0.1
 */
public enum AnswerVerdict {
  /** The call ran successfully. */
  GOOD,

  /** The call ran, or may have run, and failed. */
  FAILED,

  /** No upstream accepts such a request. */
  REJECTED,

  /** The call has not run at this upstream and will not run there. */
  NOT_RUN,

  /** Another upstream has the address; the call has not run. */
  WRONG_UPSTREAM,

  /** Not an answer to this request, or one that must not be forwarded. */
  UNUSABLE
}
