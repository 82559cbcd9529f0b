/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * What may be repeated of a call.
 *
 * @since 0.1
 */
public enum CallKind {
  /** May run more than once. */
  IDEMPOTENT,

  /** May run at most once. */
  ONCE,

  /** An event stream that may run at most once. */
  STREAM,

  /** An event stream that another upstream may continue after its last whole event. */
  RESUMABLE_STREAM;

  /** Whether a second run is allowed after one that may have happened. */
  public boolean isRepeatable() {
    return this == IDEMPOTENT || this == RESUMABLE_STREAM;
  }

  /** Whether a good answer is an event stream. */
  public boolean isStream() {
    return this == STREAM || this == RESUMABLE_STREAM;
  }
}
