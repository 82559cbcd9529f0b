/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.lib;

import com.google.common.collect.ImmutableSortedMap;
import java.util.Map;
import java.util.Optional;

/**
 * The labels of an upstream, pool, rule or workspace.
 *
 * <p>Invariant: keys are valid names, values are valid names or empty. Immutable and safe for use
 * by several threads.
 *
 * @param entries values by key, never null
 * @since 0.1
 */
public record Labels(ImmutableSortedMap<String, String> entries) {
  /** No labels. */
  public static final Labels NONE = new Labels(ImmutableSortedMap.of());

  /**
   * Validates keys and values.
   *
   * @throws IllegalArgumentException if a key or a value is malformed
   */
  public Labels {
    entries.forEach(Labels::check);
  }

  /**
   * Returns labels with the entries of a map.
   *
   * @param entries values by key
   * @return the labels
   * @throws IllegalArgumentException if a key or a value is malformed
   */
  public static Labels of(Map<String, String> entries) {
    return new Labels(ImmutableSortedMap.copyOf(entries));
  }

  /**
   * Returns the value of a label.
   *
   * @param key the key
   * @return the value, empty if there is no such label
   */
  public Optional<String> get(String key) {
    return Optional.ofNullable(entries.get(key));
  }

  private static void check(String key, String value) {
    Names.check("a label", key);
    if (!value.isEmpty()) {
      Names.check("the value of label " + key, value);
    }
  }

  @Override
  public String toString() {
    return entries.toString();
  }
}
