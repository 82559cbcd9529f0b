/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

/**
 * An event of a watch. Events of one object arrive in order, but may be delayed.
 *
 * @since 0.1
 */
public sealed interface WatchEvent {

  /**
   * Returns the version up to which the watch has delivered all changes.
   *
   * @return a resource version to resume from
   */
  StoreVersion resourceVersion();

  /**
   * An object was created or changed.
   *
   * @param object the new state of the object, never null
   */
  record Changed(StoredObject object) implements WatchEvent {
    @Override
    public StoreVersion resourceVersion() {
      return object.resourceVersion();
    }
  }

  /**
   * An object was deleted.
   *
   * @param object the last state of the object, never null
   */
  record Deleted(StoredObject object) implements WatchEvent {
    @Override
    public StoreVersion resourceVersion() {
      return object.resourceVersion();
    }
  }

  /**
   * An object was created or changed, and its new state cannot be read.
   *
   * @param object the unreadable object, never null
   */
  record Unreadable(UnreadableObject object) implements WatchEvent {
    @Override
    public StoreVersion resourceVersion() {
      return object.resourceVersion();
    }
  }

  /**
   * All changes up to a version have been delivered.
   *
   * @param resourceVersion the version to resume from
   */
  record Bookmark(StoreVersion resourceVersion) implements WatchEvent {}
}
