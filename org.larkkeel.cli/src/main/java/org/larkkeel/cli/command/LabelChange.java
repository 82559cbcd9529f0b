/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.command;

import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.ImmutableSortedSet;
import java.util.Optional;
import org.larkkeel.config.ConfigurationObject;
import org.larkkeel.config.Operation;

/**
 * Labels to set and to remove, independent of an object.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param set the labels to set
 * @param remove the keys to remove
 */
record LabelChange(ImmutableSortedMap<String, String> set, ImmutableSortedSet<String> remove) {
  static LabelChange setting(String key, String value) {
    return new LabelChange(ImmutableSortedMap.of(key, value), ImmutableSortedSet.of());
  }

  static LabelChange removing(String key) {
    return new LabelChange(ImmutableSortedMap.of(), ImmutableSortedSet.of(key));
  }

  /** Returns the operation for one object; empty if its labels would not change. */
  Optional<Operation> operationFor(ConfigurationObject object) {
    boolean alreadyApplied =
        object.labels().entries().entrySet().containsAll(set.entrySet())
            && remove.stream().allMatch(key -> object.labels().get(key).isEmpty());
    return alreadyApplied
        ? Optional.empty()
        : Optional.of(new Operation.Label(object.id(), set, remove));
  }
}
