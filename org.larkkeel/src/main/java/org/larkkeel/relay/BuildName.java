/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * The name of a build of the software of an upstream. The events of two builds do not fit together
 * in one stream.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the text, of printable ASCII characters without spaces
 * @since 0.1
 */
public record BuildName(String value) {
  /** The maximum number of characters. */
  public static final int MAX_CHARS = 64;

  /** The build of upstreams that do not name theirs. */
  public static final BuildName UNKNOWN = new BuildName("");

  /**
   * Validates the text.
   *
   * @throws IllegalArgumentException if it is too long or has another character
   */
  public BuildName {
    if (value.length() > MAX_CHARS || !value.chars().allMatch(c -> c > ' ' && c < 0x7f)) {
      throw new IllegalArgumentException(
          "the name of a build has "
              + value.length()
              + " characters: use up to "
              + MAX_CHARS
              + " printable ones without spaces");
    }
  }

  @Override
  public String toString() {
    return value;
  }
}
