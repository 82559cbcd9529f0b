/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import java.util.NavigableSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A copy of a small collection, with the names that have changed since the last {@link
 * #takeChange}.
 *
 * <p>Invariants: an object is never replaced by an older version, where versions are ordered by era
 * first; an object that cannot be read is not among the objects. Confined to one thread.
 */
final class CollectionCopy {
  private TreeMap<String, StoredObject> objects = new TreeMap<>();
  private TreeMap<String, EntryProblem> unreadable = new TreeMap<>();
  private StoreVersion changeVersion = StoreVersion.NONE;
  private boolean restoredSinceTaken;

  /**
   * The names of objects that were added, changed or removed since the last {@link #takeChange}.
   */
  private final NavigableSet<String> changedNames = new TreeSet<>();

  ImmutableSortedMap<String, StoredObject> objects() {
    return ImmutableSortedMap.copyOf(objects);
  }

  /**
   * Returns the problems of unreadable objects by name; one without a name is under the empty name.
   */
  ImmutableSortedMap<String, EntryProblem> unreadable() {
    return ImmutableSortedMap.copyOf(unreadable);
  }

  /**
   * Returns the version of the newest change of an object that was received. If a removal was only
   * inferred from a complete list, this is a lower bound. {@link StoreVersion#NONE} before the
   * first change.
   */
  StoreVersion changeVersion() {
    return changeVersion;
  }

  /** Records that a version of an object was received, even if the copy does not adopt it. */
  void recordVersion(StoredObject o) {
    changeVersion = StoreVersion.max(changeVersion, o.resourceVersion());
  }

  /** Adds or replaces an object, unless the copy has a version that is at least as new. */
  void change(StoredObject o) {
    recordVersion(o);
    String name = o.key().name();
    StoredObject old = objects.get(name);
    if (old == null || o.resourceVersion().isAfter(old.resourceVersion())) {
      unreadable.remove(name);
      objects.put(name, o);
      changedNames.add(name);
    }
  }

  /** Removes an object, unless the copy has a newer version. */
  void remove(StoredObject o) {
    recordVersion(o);
    String name = o.key().name();
    boolean wasUnreadable = unreadable.remove(name) != null;
    if (removeUpTo(name, o.resourceVersion()) || wasUnreadable) {
      changedNames.add(name);
    }
  }

  /**
   * Records that an object cannot be read, and removes its readable version unless that is newer.
   */
  void markUnreadable(UnreadableObject o) {
    removeUpTo(o.name(), o.resourceVersion());
    if (!objects.containsKey(o.name())) {
      unreadable.put(o.name(), o.problem());
      changedNames.add(o.name());
    }
  }

  private boolean removeUpTo(String name, StoreVersion upTo) {
    StoredObject old = objects.get(name);
    return old != null && !old.resourceVersion().isAfter(upTo) && objects.remove(name) != null;
  }

  /**
   * Replaces the copy by a complete state of the collection. Only objects that differ count as
   * changed.
   *
   * @param newObjects the readable objects of the new state
   * @param newUnreadable the problems of its unreadable objects, by name
   * @param oldVersion the version of the state that is replaced
   * @param newVersion the version of the new state, of the same era or a later one
   */
  void replace(
      TreeMap<String, StoredObject> newObjects,
      TreeMap<String, EntryProblem> newUnreadable,
      StoreVersion oldVersion,
      StoreVersion newVersion) {
    boolean isSameEra = oldVersion.isSameEraAs(newVersion);
    restoredSinceTaken |= !oldVersion.isNone() && !isSameEra;
    for (StoredObject o : newObjects.values()) {
      StoredObject old = objects.get(o.key().name());
      if (old == null || !old.resourceVersion().equals(o.resourceVersion())) {
        changedNames.add(o.key().name());
      }
    }
    for (String name : objects.keySet()) {
      if (!newObjects.containsKey(name)) {
        changedNames.add(name);
        recordRemovalAfter(isSameEra ? oldVersion : new StoreVersion(newVersion.era(), 0));
      }
    }
    objects = newObjects;
    unreadable = newUnreadable;
  }

  /**
   * Records a removal that no watch reported; otherwise peers with unresponsive watches would not
   * learn that something has changed. The version of the removal is unknown. The lowest possible
   * one is used, so that no peer that did watch the removal restarts its watch.
   */
  private void recordRemovalAfter(StoreVersion before) {
    changeVersion = StoreVersion.max(changeVersion, before.next());
  }

  /** Returns whether anything has changed since the last {@link #takeChange}. */
  boolean hasChanges() {
    return !changedNames.isEmpty();
  }

  /** Returns what has changed since the last call. */
  CollectionChange takeChange() {
    ImmutableList.Builder<StoredObject> changed = ImmutableList.builder();
    ImmutableSet.Builder<String> removed = ImmutableSet.builder();
    for (String name : changedNames) {
      StoredObject o = objects.get(name);
      if (o == null) {
        removed.add(name);
      } else {
        changed.add(o);
      }
    }
    changedNames.clear();
    boolean isRestored = restoredSinceTaken;
    restoredSinceTaken = false;
    return new CollectionChange(changed.build(), removed.build(), isRestored);
  }
}
