/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.lib;

/**
 * A caller's key for a request that must run at most once.
 *
 * <p>Invariant: 1 to 255 printable ASCII characters. Keys of different workspaces are independent.
 * Immutable and safe for use by several threads.
 *
 * @param value the text, never null
 * @since 0.1
 */
public record IdempotencyKey(String value) {
  /** The maximum length of a key, in characters. */
  public static final int MAX_LENGTH = 255;

  /**
   * Validates the key.
   *
   * @throws IllegalArgumentException if the key is malformed
   */
  public IdempotencyKey {
    if (value.isEmpty()
        || value.length() > MAX_LENGTH
        || !value.chars().allMatch(IdempotencyKey::printable)) {
      throw new IllegalArgumentException(
          "Idempotency-Key is \""
              + value
              + "\": use 1 to "
              + MAX_LENGTH
              + " printable ASCII characters");
    }
  }

  private static boolean printable(int c) {
    return c >= ' ' && c <= '~';
  }

  @Override
  public String toString() {
    return value;
  }
}
