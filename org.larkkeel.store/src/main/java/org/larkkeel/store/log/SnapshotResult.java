/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

/**
 * The outcome of writing a snapshot.
 *
 * @since 0.1
 */
public enum SnapshotResult {
  /** The snapshot is now the log's current one. */
  WRITTEN,
  /** The log already has a snapshot at least as new, or another writer replaced it first. */
  SUPERSEDED
}
