/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

/**
 * A 64-bit hash that is the same on every node: FNV-1a with a final mixer.
 *
 * <p>Not resistant to inputs chosen by an attacker. Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class Hashes {
  private static final long OFFSET = 0xcbf29ce484222325L;
  private static final long PRIME = 0x100000001b3L;
  private static final long MIX_1 = 0xff51afd7ed558ccdL;
  private static final long MIX_2 = 0xc4ceb9fe1a85ec53L;
  private static final int SHIFT = 33;

  private Hashes() {}

  /**
   * Returns the hash of a text.
   *
   * @param text the text, never null
   * @return the hash
   */
  public static long of(String text) {
    long hash = OFFSET;
    for (int i = 0; i < text.length(); i++) {
      hash ^= text.charAt(i);
      hash *= PRIME;
    }
    return mix(hash);
  }

  /**
   * Mixes a value so that each of its bits influences all bits of the result.
   *
   * @param value the value
   * @return the mixed value
   */
  public static long mix(long value) {
    long mixed = (value ^ (value >>> SHIFT)) * MIX_1;
    mixed = (mixed ^ (mixed >>> SHIFT)) * MIX_2;
    return mixed ^ (mixed >>> SHIFT);
  }
}
