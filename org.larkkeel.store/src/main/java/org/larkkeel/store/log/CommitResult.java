/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

/**
 * What became of a record given to a {@link LogWriter}.
 *
 * @since 0.1
 */
public enum CommitResult {
  /** It is in the log. */
  COMMITTED,
  /** It is not in the log and never will be: the store refused, or there are too many waiting. */
  NOT_COMMITTED,
  /** It is not in the log and never will be: another process owns the log. */
  DEPOSED,
  /** It may be in the log; another process owns it. */
  UNKNOWN
}
