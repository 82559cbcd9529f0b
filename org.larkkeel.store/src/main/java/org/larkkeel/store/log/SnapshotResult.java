/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

/**
 * What came of writing a snapshot.
 *
 * @since 0.1
 */
public enum SnapshotResult {
  /** It is the log's snapshot. */
  WRITTEN,
  /** The log has one as new, or another writer was faster. */
  SUPERSEDED
}
