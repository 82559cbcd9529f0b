/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.event;

/**
 * Why an attempt at an upstream failed.
 *
 * @since 0.1
 */
public enum FailureCause {
  /** No connection could be made. */
  CONNECT_FAILED,
  /** The upstream said that it has no slot. */
  NO_SLOT,
  /** The upstream said that it is busy. */
  BUSY,
  /** The upstream said that it is leaving. */
  DRAINING,
  /** The KV cache is no longer held. */
  KV_EVICTED,
  /** The connection broke. */
  CONNECTION_LOST,
  /** No answer in time. */
  TIMED_OUT,
  /** The upstream answered with a server error or with something unreadable. */
  BAD_ANSWER,
  /** The upstream rejected the request itself; another upstream would do the same. */
  REJECTED
}
