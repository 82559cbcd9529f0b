/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.lib;

/**
 * A number that increases with each holder of a lease; an order with a smaller number is stale and
 * refused.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the number
 * @since 0.1
 */
public record FencingNumber(long value) implements Comparable<FencingNumber> {

  @Override
  public int compareTo(FencingNumber other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
