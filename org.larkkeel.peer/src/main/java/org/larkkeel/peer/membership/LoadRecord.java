/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

import java.util.Arrays;

/**
 * A small opaque value that is disseminated to every node, such as the quantised load of an
 * upstream.
 *
 * <p>Of two records with the same key, the one with the greater version replaces the other.
 * Immutable as long as the array is not written to; safe for use by several threads.
 *
 * @param key the name of the value, at most {@value #MAX_KEY_LENGTH} characters, never null
 * @param version increases with each change
 * @param value at most {@value #MAX_VALUE_BYTES} bytes, not copied, never null
 * @since 0.1
 */
@SuppressWarnings("ArrayRecordComponent") // The array is handed to the codec without a copy.
public record LoadRecord(String key, long version, byte[] value) {
  /** The maximum length of a key, in characters. */
  public static final int MAX_KEY_LENGTH = 64;

  /** The maximum size of a value, in bytes. */
  public static final int MAX_VALUE_BYTES = 64;

  /** Checks the bounds. */
  public LoadRecord {
    if (key.isEmpty() || key.length() > MAX_KEY_LENGTH) {
      throw new IllegalArgumentException(
          "key has " + key.length() + " characters: use 1 to " + MAX_KEY_LENGTH);
    }
    if (value.length > MAX_VALUE_BYTES) {
      throw new IllegalArgumentException(
          "value has " + value.length + " bytes: use at most " + MAX_VALUE_BYTES);
    }
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof LoadRecord that
        && version == that.version
        && key.equals(that.key)
        && Arrays.equals(value, that.value);
  }

  @Override
  public int hashCode() {
    return 31 * key.hashCode() + Long.hashCode(version);
  }
}
