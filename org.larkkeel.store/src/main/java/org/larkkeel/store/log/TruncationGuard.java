/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

/**
 * The protection against an append at a truncated position by a writer that was paused while the
 * log advanced. Without it the create would succeed, since the entry there has been deleted.
 *
 * @since 0.1
 */
public enum TruncationGuard {
  /**
   * For a log with one owner at a time. The entry after a former owner's last one is its
   * successor's seal. Truncation keeps the newest seals, so the create fails.
   */
  RETAINED_SEAL,
  /**
   * For a log with many writers. A created entry counts as appended only if the manifest, read
   * afterwards, shows that its position is not truncated.
   */
  READ_MANIFEST
}
