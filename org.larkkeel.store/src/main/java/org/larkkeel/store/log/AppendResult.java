/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

import java.util.Optional;
import org.larkkeel.store.ObjectApiFailure;

/**
 * The outcome of an append.
 *
 * @since 0.1
 */
public sealed interface AppendResult {

  /**
   * The entry is in the log.
   *
   * @param entry the entry, never null
   */
  record Appended(LogEntry entry) implements AppendResult {}

  /**
   * Another entry took the position first; this entry is not in the log and never will be.
   *
   * @param winner the other entry, empty if it has already been truncated
   */
  record PositionTaken(Optional<LogEntry> winner) implements AppendResult {}

  /**
   * The store refused the entry, which is not in the log.
   *
   * @param cause the refusal, never null
   */
  record NotAppended(ObjectApiFailure cause) implements AppendResult {}

  /**
   * The outcome is unknown: the entry may be in the log or appear in it later. The writer must
   * append the same entry again before any other.
   */
  record Unresolved() implements AppendResult {}

  /**
   * The position was truncated while the outcome was unknown: the entry may have been in the log.
   */
  record PositionTruncated() implements AppendResult {}
}
