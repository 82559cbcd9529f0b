/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

/**
 * The state that a log's entries make up. Called on the scheduler only.
 *
 * @since 0.1
 */
public interface Replica {

  /**
   * Replaces the state.
   *
   * @param snapshot what {@link #save} returned after an entry
   */
  void restore(LogSnapshot snapshot);

  /**
   * Applies the next entry.
   *
   * @param entry the entry after the last one
   */
  void apply(LogEntry entry);

  /**
   * Writes the state.
   *
   * @return the state in the replica's own form
   */
  byte[] save();
}
