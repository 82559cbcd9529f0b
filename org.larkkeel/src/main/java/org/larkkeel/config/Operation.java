/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.ImmutableSortedSet;

/**
 * One operation of a change.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface Operation {
  /**
   * Returns the object that the operation changes.
   *
   * @return the id, never null
   */
  ObjectId target();

  /**
   * Adds or replaces an object.
   *
   * @param object the complete object
   */
  record Put(ConfigurationObject object) implements Operation {
    @Override
    public ObjectId target() {
      return object.id();
    }
  }

  /**
   * Removes an object, which must exist.
   *
   * @param target the object
   */
  record Delete(ObjectId target) implements Operation {}

  /**
   * Sets and removes labels of an object, which must exist.
   *
   * @param target the object
   * @param set the labels to set
   * @param remove the keys of the labels to remove; a missing label is no error
   */
  record Label(
      ObjectId target, ImmutableSortedMap<String, String> set, ImmutableSortedSet<String> remove)
      implements Operation {}
}
