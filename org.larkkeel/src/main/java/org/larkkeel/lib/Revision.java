/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.lib;

/**
 * The revision of a configuration: the number of its last entry in the configuration log.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the number
 * @since 0.1
 */
public record Revision(long value) implements Comparable<Revision> {

  /** The revision of the empty configuration, before any entry. */
  public static final Revision NONE = new Revision(0);

  /**
   * Returns whether this revision is newer than another.
   *
   * @param other the other revision
   * @return true if this one is newer
   */
  public boolean isAfter(Revision other) {
    return value > other.value;
  }

  @Override
  public int compareTo(Revision other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
