/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.event;

/**
 * The reason why an attempt at an upstream failed.
 *
 * @since 0.1
 */
public enum FailureCause {
  /** No connection could be established. */
  CONNECT_FAILED,
  /** The upstream answered that it has no free slot. */
  NO_SLOT,
  /** The upstream answered that it is busy. */
  BUSY,
  /** The upstream answered that it is leaving. */
  DRAINING,
  /** The upstream no longer holds the KV cache. */
  KV_EVICTED,
  /** The connection broke. */
  CONNECTION_LOST,
  /** No answer was received before the timeout. */
  TIMED_OUT,
  /** The upstream answered with a server error or with a malformed answer. */
  BAD_ANSWER,
  /** The upstream rejected the request as such; another upstream would do the same. */
  REJECTED
}
