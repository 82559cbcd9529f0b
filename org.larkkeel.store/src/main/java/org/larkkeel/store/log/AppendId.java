/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

/**
 * Names one append, so that its writer knows it again after a lost answer.
 *
 * <p>Invariant: a writer never uses a sequence number twice in one log. Immutable.
 *
 * @param writer the writer, never null
 * @param sequence counts the appends of this writer
 * @since 0.1
 */
public record AppendId(WriterId writer, long sequence) {
  private static final char SEPARATOR = '/';

  /**
   * Reads the text form.
   *
   * @param text what {@link #toString} returned
   * @return the id
   * @throws IllegalArgumentException if the text is malformed
   */
  public static AppendId parse(String text) {
    int i = text.lastIndexOf(SEPARATOR);
    if (i < 0) {
      throw new IllegalArgumentException(
          "the append is \"" + text + "\": expected host/incarnation/sequence");
    }
    return new AppendId(
        WriterId.parse(text.substring(0, i)), Long.parseLong(text.substring(i + 1)));
  }

  @Override
  public String toString() {
    return writer.toString() + SEPARATOR + sequence;
  }
}
