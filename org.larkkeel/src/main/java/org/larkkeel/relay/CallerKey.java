/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import org.larkkeel.lib.Fingerprint;

/**
 * The digest of the key with which a caller identifies its workspace.
 *
 * <p>The key itself is not stored, and it can not be recovered from the digest by guessing one part
 * of it after another. Immutable and safe for use by several threads.
 *
 * @param digest the digest of the key, never null
 * @since 0.1
 */
public record CallerKey(Fingerprint digest) {
  /** The maximum length of a key, in characters. */
  public static final int MAX_LENGTH = 256;

  /**
   * Returns the digest of a key.
   *
   * @param key visible ASCII, not empty
   * @throws IllegalArgumentException if the key is malformed; the message does not contain the key
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
