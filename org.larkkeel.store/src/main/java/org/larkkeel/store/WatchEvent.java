/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

/**
 * One event of a watch. Events of one object come in order; they may come late.
 *
 * @since 0.1
 */
public sealed interface WatchEvent {

  /**
   * The version up to which the watch has told everything.
   *
   * @return a resource version to resume from
   */
  StoreVersion resourceVersion();

  /**
   * An object was created or changed.
   *
   * @param object its new state, never null
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
   * @param object its last state, never null
   */
  record Deleted(StoredObject object) implements WatchEvent {
    @Override
    public StoreVersion resourceVersion() {
      return object.resourceVersion();
    }
  }

  /**
   * An object was created or changed, and can not be read any more.
   *
   * @param object what is known of it, never null
   */
  record Unreadable(UnreadableObject object) implements WatchEvent {
    @Override
    public StoreVersion resourceVersion() {
      return object.resourceVersion();
    }
  }

  /**
   * Nothing changed up to a version.
   *
   * @param resourceVersion the version to resume from
   */
  record Bookmark(StoreVersion resourceVersion) implements WatchEvent {}
}
