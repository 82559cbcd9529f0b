/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

/**
 * The state that results from applying a log's entries in order. Called on the scheduler only.
 *
 * @since 0.1
 */
public interface Replica {

  /**
   * Replaces the state by that of a snapshot.
   *
   * @param snapshot the snapshot, whose content is a result of {@link #save}
   */
  void restore(LogSnapshot snapshot);

  /**
   * Applies the next entry.
   *
   * @param entry the entry that follows the last one applied or covered by the snapshot
   */
  void apply(LogEntry entry);

  /**
   * Serializes the state.
   *
   * @return the state in the replica's own format
   */
  byte[] save();
}
