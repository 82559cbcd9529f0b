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
 * @param items the readable objects, never null
 * @param unreadable the unreadable objects, never null
 * @param resourceVersion the version of the store that the page shows; a watch may start from it
 * @param continueToken the token for the next page; empty on the last page, never null
 * @since 0.1
 */
public record ObjectPage(
    ImmutableList<StoredObject> items,
    ImmutableList<UnreadableObject> unreadable,
    StoreVersion resourceVersion,
    String continueToken) {

  /** Creates a page without unreadable objects. */
  public ObjectPage(
      ImmutableList<StoredObject> items, StoreVersion resourceVersion, String continueToken) {
    this(items, ImmutableList.of(), resourceVersion, continueToken);
  }

  /**
   * Returns whether this is the last page.
   *
   * @return true if no page follows
   */
  public boolean isLast() {
    return continueToken.isEmpty();
  }
}
