/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * The id of a stream, which is that of the call that brought its first event.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the text, of printable ASCII characters without spaces
 * @since 0.1
 */
public record StreamId(String value) {
  /** The maximum number of characters. */
  public static final int MAX_CHARS = 128;

  /**
   * Validates the text.
   *
   * @throws IllegalArgumentException if it is too long or has another character
   */
  public StreamId {
    if (value.length() > MAX_CHARS || !value.chars().allMatch(c -> c > ' ' && c < 0x7f)) {
      throw new IllegalArgumentException(
          "the id of a stream has "
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
