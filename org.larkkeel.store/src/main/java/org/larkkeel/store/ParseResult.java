/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

/**
 * The result of parsing an entry of the store.
 *
 * <p>Immutable and thread-safe.
 *
 * @param <T> the type of a parsed entry
 * @since 0.1
 */
public sealed interface ParseResult<T> {
  /**
   * The entry was parsed completely.
   *
   * @param value the parsed entry, never null
   */
  record Readable<T>(T value) implements ParseResult<T> {}

  /**
   * The entry could not be parsed and has no value.
   *
   * @param problem the first problem found, never null
   */
  record Unreadable<T>(EntryProblem problem) implements ParseResult<T> {}
}
