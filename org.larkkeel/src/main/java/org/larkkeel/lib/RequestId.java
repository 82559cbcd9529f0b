/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.lib;

/**
 * The id of a request, unique within one incarnation of one node.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the number
 * @since 0.1
 */
public record RequestId(long value) implements Comparable<RequestId> {

  @Override
  public int compareTo(RequestId other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
