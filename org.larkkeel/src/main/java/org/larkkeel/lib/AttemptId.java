/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.lib;

/**
 * The id of one attempt at an upstream, unique within one incarnation of one node.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the number
 * @since 0.1
 */
public record AttemptId(long value) implements Comparable<AttemptId> {

  @Override
  public int compareTo(AttemptId other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
