/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * How far an attempt had come when it was given up.
 *
 * @since 0.1
 */
public enum AttemptProgress {
  /** No byte was written: the upstream knows nothing of it. */
  NOT_SENT,

  /**
   * It was written and nothing came back: it waits at the upstream, or the upstream works on it.
   */
  SENT,

  /** The upstream has begun to answer. */
  ANSWERING
}
