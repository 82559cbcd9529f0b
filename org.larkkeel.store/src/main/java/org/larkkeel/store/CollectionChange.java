/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;

/**
 * By what a copy of a collection differs from the one that was told of last.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param changed objects that are new or have a newer version, by name, never null
 * @param removed names of objects that are no longer in the copy, never null
 * @param isRestored whether the store has come back from a copy since: what is told may be older
 *     than what was told before
 * @since 0.1
 */
public record CollectionChange(
    ImmutableList<StoredObject> changed, ImmutableSet<String> removed, boolean isRestored) {
  /** Of a store that has not come back from a copy. */
  public CollectionChange(ImmutableList<StoredObject> changed, ImmutableSet<String> removed) {
    this(changed, removed, false);
  }

  /** Whether nothing differs, as after a list that brought no news. */
  public boolean isEmpty() {
    return changed.isEmpty() && removed.isEmpty();
  }
}
