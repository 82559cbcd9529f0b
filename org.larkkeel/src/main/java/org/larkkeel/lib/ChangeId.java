/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.lib;

/**
 * The id of one change of the configuration, unique over all authors and times.
 *
 * <p>A writer whose append was not answered recognises its own entry by this id. Immutable and safe
 * for use by several threads.
 *
 * @param value the text, a valid name
 * @since 0.1
 */
public record ChangeId(String value) implements Comparable<ChangeId> {

  /**
   * Validates the name.
   *
   * @throws IllegalArgumentException if the name is not valid
   */
  public ChangeId {
    Names.check("a change", value);
  }

  @Override
  public int compareTo(ChangeId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
