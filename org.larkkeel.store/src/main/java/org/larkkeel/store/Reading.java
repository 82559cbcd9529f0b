/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

/**
 * The result of reading an entry of the store.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param <T> what a readable entry says
 * @since 0.1
 */
public sealed interface Reading<T> {
  /**
   * It could be read as a whole.
   *
   * @param value what it says, never null
   */
  record Readable<T>(T value) implements Reading<T> {}

  /**
   * It could not be read, and says nothing.
   *
   * @param problem the first fault that was found, never null
   */
  record Unreadable<T>(EntryProblem problem) implements Reading<T> {}
}
