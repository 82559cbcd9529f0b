/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

import java.util.Arrays;

/**
 * A small opaque value that is spread to every node, such as the quantised load of an upstream.
 *
 * <p>Of two records with the same key, the one with the greater version counts. Immutable as long
 * as nobody writes to the array; safe for use by several threads.
 *
 * @param key names the value, at most {@value #MAX_KEY} characters, never null
 * @param version grows with each change
 * @param value at most {@value #MAX_VALUE} bytes, not copied, never null
 * @since 0.1
 */
@SuppressWarnings("ArrayRecordComponent") // The array is handed to the codec without a copy.
public record LoadRecord(String key, long version, byte[] value) {
  /** The longest key, in characters. */
  public static final int MAX_KEY = 64;

  /** The longest value, in bytes. */
  public static final int MAX_VALUE = 64;

  /** Checks the bounds. */
  public LoadRecord {
    if (key.isEmpty() || key.length() > MAX_KEY) {
      throw new IllegalArgumentException(
          "key has " + key.length() + " characters: use 1 to " + MAX_KEY);
    }
    if (value.length > MAX_VALUE) {
      throw new IllegalArgumentException(
          "value has " + value.length + " bytes: use at most " + MAX_VALUE);
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
