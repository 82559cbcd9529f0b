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
 * Labels to set and to remove, whatever the object.
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

  /** The step for one object; empty if its labels are so already. */
  Optional<Operation> on(ConfigurationObject object) {
    boolean done =
        object.labels().entries().entrySet().containsAll(set.entrySet())
            && remove.stream().allMatch(key -> object.labels().get(key).isEmpty());
    return done ? Optional.empty() : Optional.of(new Operation.Label(object.id(), set, remove));
  }
}
