/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;

/**
 * The difference between a copy of a collection and the copy that the listener was last notified
 * of.
 *
 * <p>Immutable and thread-safe.
 *
 * @param changed the objects that are new or have a newer version, ordered by name, never null
 * @param removed the names of the objects that are no longer in the copy, never null
 * @param isRestored true if the store was restored from a backup since the last notification, so
 *     that the objects may be older than those of the previous notification
 * @since 0.1
 */
public record CollectionChange(
    ImmutableList<StoredObject> changed, ImmutableSet<String> removed, boolean isRestored) {
  /** Creates a change of a store that was not restored from a backup. */
  public CollectionChange(ImmutableList<StoredObject> changed, ImmutableSet<String> removed) {
    this(changed, removed, false);
  }

  /** Returns whether nothing differs, as after a list without changes. */
  public boolean isEmpty() {
    return changed.isEmpty() && removed.isEmpty();
  }
}
