/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

/**
 * What keeps a writer that was paused for long from creating an entry at a place that has been
 * truncated since.
 *
 * @since 0.1
 */
public enum Guard {
  /**
   * The log has one owner at a time. The next entry after an owner's last one is its successor's
   * seal, and truncation keeps seals, so the create fails.
   */
  RETAINED_SEAL,
  /** The log has many writers. A success counts only once the manifest, read after it, agrees. */
  READ_MANIFEST
}
