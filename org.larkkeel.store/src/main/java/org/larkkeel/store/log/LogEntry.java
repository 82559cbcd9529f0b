/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;

/**
 * One entry of a log. Immutable by convention: the records must not be modified.
 *
 * @param number the position in the log, from 1
 * @param id the ID of the append, never null
 * @param type the type, never null
 * @param records the records, empty for a seal, never null
 * @since 0.1
 */
public record LogEntry(long number, AppendId id, EntryType type, ImmutableList<JsonNode> records) {

  /**
   * Creates an entry with records.
   *
   * @param number the position in the log
   * @param id the ID of the append
   * @param records the records
   * @return the entry
   */
  public static LogEntry records(long number, AppendId id, Iterable<JsonNode> records) {
    return new LogEntry(number, id, EntryType.RECORDS, ImmutableList.copyOf(records));
  }

  /**
   * Creates a seal.
   *
   * @param number the position in the log
   * @param id the ID of the append
   * @return the entry
   */
  public static LogEntry seal(long number, AppendId id) {
    return new LogEntry(number, id, EntryType.SEAL, ImmutableList.of());
  }
}
