/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

/**
 * The era of a store as last observed by this process.
 *
 * <p>Immutable and thread-safe.
 *
 * @param number the number of the era, see {@link StoreVersion#era}
 * @param sinceNanos the scheduler's time at which the process first observed the era, in
 *     nanoseconds
 * @since 0.1
 */
public record StoreEra(long number, long sinceNanos) {
  /** The era of a store that does not state its era. */
  public static final StoreEra NONE = new StoreEra(0, 0);
}
