/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

/**
 * The type of a log entry.
 *
 * @since 0.1
 */
public enum EntryType {
  /** The entry holds records. */
  RECORDS,
  /**
   * The entry holds no records: it marks that a new owner took over. The previous owner can not
   * append after it.
   */
  SEAL
}
