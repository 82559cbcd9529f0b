/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

/**
 * The outcome of a record that was submitted to a {@link LogWriter}.
 *
 * @since 0.1
 */
public enum CommitResult {
  /** The record is in the log. */
  COMMITTED,
  /**
   * The record is not in the log and never will be: the store refused it, it exceeds the maximum
   * entry size, too many records were pending, or it was withdrawn.
   */
  NOT_COMMITTED,
  /**
   * The record is not in the log and never will be: this process does not own the log, or lost it
   * before the record was sent.
   */
  DEPOSED,
  /** The record may be in the log, which this process no longer owns. */
  UNKNOWN
}
