/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * Whether and how a call may be run again, and the form of its answer.
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

  /** An event stream that another upstream may continue after its last complete event. */
  RESUMABLE_STREAM;

  /** Returns whether the call may run again after a run that may have happened. */
  public boolean isRepeatable() {
    return this == IDEMPOTENT || this == RESUMABLE_STREAM;
  }

  /** Returns whether a successful answer is an event stream. */
  public boolean isStream() {
    return this == STREAM || this == RESUMABLE_STREAM;
  }
}
