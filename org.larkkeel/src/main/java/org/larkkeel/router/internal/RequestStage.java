/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

/**
 * Where a request is.
 *
 * <p>{@code RECEIVED -> QUEUED -> PREFILLING -> PLACED -> TRANSFERRING -> DECODING -> RECORDING},
 * or {@code QUEUED -> RUNNING -> RECORDING} for a plain call; from each to an end, and back to
 * {@code QUEUED} for another attempt.
 *
 * @since 0.1
 */
public enum RequestStage {
  /** Waits for its claim. */
  RECEIVED,
  /** Waits in a lane, or for the end of a delay before another attempt. */
  QUEUED,
  /** An engine computes its KV cache. */
  PREFILLING,
  /** Its KV cache is held and waits for a decode slot. */
  PLACED,
  /** Its KV cache moves. */
  TRANSFERRING,
  /** Tokens are generated. */
  DECODING,
  /** A service works on it. */
  RUNNING,
  /** It is answered and the outcome is being recorded. */
  RECORDING,
  /** Its last effect is given out. */
  ENDED
}
