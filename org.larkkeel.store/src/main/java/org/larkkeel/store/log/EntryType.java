/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

/**
 * What an entry holds.
 *
 * @since 0.1
 */
public enum EntryType {
  /** Records. */
  RECORDS,
  /** Nothing but the take-over by a new owner: the owner before it can not append after it. */
  SEAL
}
