/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

import java.util.Optional;
import org.larkkeel.store.ObjectApiFailure;

/**
 * The closed list of outcomes of an append.
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
   * Another entry has the place; this one is not in the log and never will be.
   *
   * @param winner the other entry, empty if it has been truncated already
   */
  record Lost(Optional<LogEntry> winner) implements AppendResult {}

  /**
   * The store refused; the entry is not in the log.
   *
   * @param cause the refusal, never null
   */
  record NotAppended(ObjectApiFailure cause) implements AppendResult {}

  /**
   * The entry may be in the log, or come into it later. The writer must append the same entry again
   * before any other.
   */
  record Unresolved() implements AppendResult {}

  /** The place was truncated before the writer learnt its fate: the entry may have been there. */
  record Forgotten() implements AppendResult {}
}
