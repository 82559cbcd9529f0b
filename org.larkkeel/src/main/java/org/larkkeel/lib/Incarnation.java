/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.lib;

/**
 * The number of one incarnation of a process, that is one run from start to end; a restart normally
 * gets a greater number.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the number
 * @since 0.1
 */
public record Incarnation(long value) implements Comparable<Incarnation> {

  @Override
  public int compareTo(Incarnation other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
