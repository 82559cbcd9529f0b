/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import com.google.common.collect.ImmutableList;

/**
 * One page of a listing, ordered by name.
 *
 * @param items the objects, never null
 * @param unreadable those that can not be read, never null
 * @param resourceVersion the version of the store that the page shows; a watch may start from it
 * @param continueToken asks for the next page; empty on the last one, never null
 * @since 0.1
 */
public record ObjectPage(
    ImmutableList<StoredObject> items,
    ImmutableList<UnreadableObject> unreadable,
    StoreVersion resourceVersion,
    String continueToken) {

  /** A page of which everything can be read. */
  public ObjectPage(
      ImmutableList<StoredObject> items, StoreVersion resourceVersion, String continueToken) {
    this(items, ImmutableList.of(), resourceVersion, continueToken);
  }

  /**
   * Tells whether this is the last page.
   *
   * @return true if nothing follows
   */
  public boolean isLast() {
    return continueToken.isEmpty();
  }
}
