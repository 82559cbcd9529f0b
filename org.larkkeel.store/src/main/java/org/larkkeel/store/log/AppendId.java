/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

/**
 * The ID of one append, by which its writer recognizes the entry after a lost response.
 *
 * <p>Invariant: a writer never uses a sequence number twice in one log. Immutable.
 *
 * @param writer the writer, never null
 * @param sequence the number of this append among those of the writer
 * @since 0.1
 */
public record AppendId(WriterId writer, long sequence) {
  private static final char SEPARATOR = '/';

  /**
   * Parses the text form.
   *
   * @param text a result of {@link #toString}
   * @return the ID
   * @throws IllegalArgumentException if the text is malformed
   */
  public static AppendId parse(String text) {
    int i = text.lastIndexOf(SEPARATOR);
    if (i < 0) {
      throw new IllegalArgumentException(
          "append ID \"" + text + "\" is malformed: expected host/incarnation/sequence");
    }
    return new AppendId(
        WriterId.parse(text.substring(0, i)), Long.parseLong(text.substring(i + 1)));
  }

  @Override
  public String toString() {
    return writer.toString() + SEPARATOR + sequence;
  }
}
