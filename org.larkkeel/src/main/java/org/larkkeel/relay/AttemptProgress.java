/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * The progress of an attempt at the time it was cancelled.
 *
 * @since 0.1
 */
public enum AttemptProgress {
  /** No byte was written, so the upstream knows nothing of the attempt. */
  NOT_SENT,

  /**
   * The request was written and no answer was received: it is queued or being processed at the
   * upstream.
   */
  SENT,

  /** The upstream has started to answer. */
  ANSWERING
}
