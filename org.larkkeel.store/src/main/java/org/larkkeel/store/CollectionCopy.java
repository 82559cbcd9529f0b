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
 * What is known of a small collection, and by what it differs from what was told of last.
 *
 * <p>Invariants: an object never goes back to an older version, in the order of eras; an object
 * that can not be read is not among the objects. Confined to one thread.
 */
final class CollectionCopy {
  private TreeMap<String, StoredObject> objects = new TreeMap<>();
  private TreeMap<String, EntryProblem> unreadable = new TreeMap<>();
  private StoreVersion changeVersion = StoreVersion.NONE;
  private boolean restored;

  /** Names whose objects have changed, appeared or gone since the last {@link #takeChange}. */
  private final NavigableSet<String> touched = new TreeSet<>();

  ImmutableSortedMap<String, StoredObject> objects() {
    return ImmutableSortedMap.copyOf(objects);
  }

  /** Why objects can not be read, by their names; under the empty name one that has none. */
  ImmutableSortedMap<String, EntryProblem> unreadable() {
    return ImmutableSortedMap.copyOf(unreadable);
  }

  /**
   * The version of the newest change of an object that was seen, or a lower bound of it where a
   * removal was seen by what a whole copy lacks; 0 before the first.
   */
  StoreVersion changeVersion() {
    return changeVersion;
  }

  /** Notes that a version of an object was seen, whether it is taken over or not. */
  void seen(StoredObject o) {
    changeVersion = StoreVersion.max(changeVersion, o.resourceVersion());
  }

  /** An object appeared or changed. */
  void change(StoredObject o) {
    seen(o);
    String name = o.key().name();
    StoredObject old = objects.get(name);
    if (old == null || o.resourceVersion().isAfter(old.resourceVersion())) {
      unreadable.remove(name);
      objects.put(name, o);
      touched.add(name);
    }
  }

  /** An object was removed. */
  void remove(StoredObject o) {
    seen(o);
    String name = o.key().name();
    boolean wasUnreadable = unreadable.remove(name) != null;
    if (forget(name, o.resourceVersion()) || wasUnreadable) {
      touched.add(name);
    }
  }

  /** An object can not be read any more; if it was before, it is gone. */
  void turnUnreadable(UnreadableObject o) {
    forget(o.name(), o.resourceVersion());
    if (!objects.containsKey(o.name())) {
      unreadable.put(o.name(), o.problem());
      touched.add(o.name());
    }
  }

  private boolean forget(String name, StoreVersion upTo) {
    StoredObject old = objects.get(name);
    return old != null && !old.resourceVersion().isAfter(upTo) && objects.remove(name) != null;
  }

  /**
   * Takes over a whole state, of which only what differs is news.
   *
   * @param whole its objects
   * @param wholeUnreadable its objects that can not be read
   * @param before the version of the state that it replaces
   * @param now its version, of the same era or a later one
   */
  void replace(
      TreeMap<String, StoredObject> whole,
      TreeMap<String, EntryProblem> wholeUnreadable,
      StoreVersion before,
      StoreVersion now) {
    boolean isOfEra = before.isOfEraOf(now);
    restored |= !before.isNone() && !isOfEra;
    for (StoredObject o : whole.values()) {
      StoredObject old = objects.get(o.key().name());
      if (old == null || !old.resourceVersion().equals(o.resourceVersion())) {
        touched.add(o.key().name());
      }
    }
    for (String name : objects.keySet()) {
      if (!whole.containsKey(name)) {
        touched.add(name);
        seenRemovalAfter(isOfEra ? before : new StoreVersion(now.era(), 0));
      }
    }
    objects = whole;
    unreadable = wholeUnreadable;
  }

  /**
   * Notes a removal that no watch told of, else others whose watches are silent would not be told
   * that something has changed. Its version is not known; the least that it can have makes no node
   * that watched it doubt its watch.
   */
  private void seenRemovalAfter(StoreVersion before) {
    changeVersion = StoreVersion.max(changeVersion, before.next());
  }

  /** Whether there is news since the last {@link #takeChange}. */
  boolean isTouched() {
    return !touched.isEmpty();
  }

  /** What is news since the last call. */
  CollectionChange takeChange() {
    ImmutableList.Builder<StoredObject> changed = ImmutableList.builder();
    ImmutableSet.Builder<String> removed = ImmutableSet.builder();
    for (String name : touched) {
      StoredObject o = objects.get(name);
      if (o == null) {
        removed.add(name);
      } else {
        changed.add(o);
      }
    }
    touched.clear();
    boolean isRestored = restored;
    restored = false;
    return new CollectionChange(changed.build(), removed.build(), isRestored);
  }
}
