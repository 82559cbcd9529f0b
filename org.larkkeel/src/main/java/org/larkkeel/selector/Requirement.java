/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.selector;

import com.google.common.collect.ImmutableSortedSet;
import java.util.Optional;
import org.larkkeel.lib.Labels;

/**
 * One condition of a selector.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface Requirement {
  /**
   * Returns the key of the label that the condition tests.
   *
   * @return the key, never null
   */
  String key();

  /**
   * Returns whether labels meet the condition.
   *
   * @param labels the labels
   * @return true if the condition holds
   */
  default boolean matches(Labels labels) {
    Optional<String> value = labels.get(key());
    return switch (this) {
      case In in -> value.isPresent() && in.values().contains(value.get());
      case NotIn notIn -> value.isEmpty() || !notIn.values().contains(value.get());
      case Exists exists -> value.isPresent();
      case Absent absent -> value.isEmpty();
    };
  }

  /**
   * The label is present and has one of the values; {@code k=v} is the form with one value.
   *
   * @param key the key
   * @param values the values, at least one
   */
  record In(String key, ImmutableSortedSet<String> values) implements Requirement {
    @Override
    public String toString() {
      return values.size() == 1
          ? key + "=" + values.first()
          : key + " in (" + String.join(", ", values) + ")";
    }
  }

  /**
   * The label is missing or has none of the values; {@code k!=v} is the form with one value.
   *
   * @param key the key
   * @param values the values, at least one
   */
  record NotIn(String key, ImmutableSortedSet<String> values) implements Requirement {
    @Override
    public String toString() {
      return values.size() == 1
          ? key + "!=" + values.first()
          : key + " notin (" + String.join(", ", values) + ")";
    }
  }

  /**
   * The label is present.
   *
   * @param key the key
   */
  record Exists(String key) implements Requirement {
    @Override
    public String toString() {
      return key;
    }
  }

  /**
   * The label is missing.
   *
   * @param key the key
   */
  record Absent(String key) implements Requirement {
    @Override
    public String toString() {
      return "!" + key;
    }
  }
}
