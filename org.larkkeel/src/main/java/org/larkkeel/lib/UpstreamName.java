/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.lib;

/**
 * The name of an upstream.
 *
 * <p>Invariant: a valid label-style name, see {@link Names}. Immutable and safe for use by several
 * threads.
 *
 * @param value the text, never null
 * @since 0.1
 */
public record UpstreamName(String value) implements Comparable<UpstreamName> {

  /**
   * Validates the name.
   *
   * @throws IllegalArgumentException if the name is not valid
   */
  public UpstreamName {
    Names.check("an upstream", value);
  }

  @Override
  public int compareTo(UpstreamName other) {
    return value.compareTo(other.value);
  }

  /**
   * Implemented explicitly because the generated {@code equals} of a record is slow until it is
   * compiled.
   */
  @Override
  public boolean equals(Object other) {
    return other instanceof UpstreamName o && value.equals(o.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }

  @Override
  public String toString() {
    return value;
  }
}
