/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import org.larkkeel.lib.Fingerprint;

/**
 * The key by which a caller shows for which workspace it calls, as a digest.
 *
 * <p>The key itself is not kept, and can not be told from the digest by trying its beginnings.
 * Immutable and safe for use by several threads.
 *
 * @param digest of the key
 * @since 0.1
 */
public record CallerKey(Fingerprint digest) {
  /** The longest key, in characters. */
  public static final int MAX_LENGTH = 256;

  /**
   * The digest of a key.
   *
   * @param key visible ASCII, not empty
   * @throws IllegalArgumentException if it is something else; the message does not name it
   */
  public static CallerKey of(String key) {
    if (key.isEmpty() || key.length() > MAX_LENGTH) {
      throw new IllegalArgumentException(
          "a key has " + key.length() + " characters: use 1 to " + MAX_LENGTH);
    }
    if (!key.chars().allMatch(c -> c > ' ' && c <= '~')) {
      throw new IllegalArgumentException("a key has other characters than visible ASCII");
    }
    return new CallerKey(Fingerprint.of(key));
  }

  @Override
  public String toString() {
    return "key";
  }
}
