/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

/**
 * The era of a store, as this process knows it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param number as of {@link StoreVersion#era}
 * @param sinceNanos when the process first saw it, by the scheduler's clock
 * @since 0.1
 */
public record StoreEra(long number, long sinceNanos) {
  /** That of a store that never says that it has come back from a copy. */
  public static final StoreEra NONE = new StoreEra(0, 0);
}
