/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

/**
 * The stage of a request.
 *
 * <p>{@code RECEIVED -> QUEUED -> PREFILLING -> KV_HELD -> TRANSFERRING -> DECODING -> RECORDING},
 * or {@code QUEUED -> RUNNING -> RECORDING} for a plain call; each can be followed by {@code
 * ENDED}, and by {@code QUEUED} for a retry.
 *
 * @since 0.1
 */
public enum RequestStage {
  /** The request waits for its claim. */
  RECEIVED,
  /** The request waits in a lane, or for the end of the delay before a retry. */
  QUEUED,
  /** A prefill engine computes the KV cache. */
  PREFILLING,
  /** The KV cache is held at the prefill engine until a decode slot is free. */
  KV_HELD,
  /** The KV cache is transferred to the decode engine. */
  TRANSFERRING,
  /** The decode engine generates tokens. */
  DECODING,
  /** A service runs the plain call. */
  RUNNING,
  /** The answer is complete and the outcome is being recorded. */
  RECORDING,
  /** The last effect was emitted. */
  ENDED
}
