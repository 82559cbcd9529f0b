/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.lib;

/**
 * The name of a data centre.
 *
 * <p>Invariant: a valid label-style name, see {@link Names}. Immutable and safe for use by several
 * threads.
 *
 * @param value the text, never null
 * @since 0.1
 */
public record DataCentreName(String value) implements Comparable<DataCentreName> {

  /**
   * Validates the name.
   *
   * @throws IllegalArgumentException if the name is not valid
   */
  public DataCentreName {
    Names.check("a data centre", value);
  }

  @Override
  public int compareTo(DataCentreName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
