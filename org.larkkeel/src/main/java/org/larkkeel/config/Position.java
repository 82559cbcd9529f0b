/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

/**
 * A position in a text.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param line the line from 1; 0 if there is no text
 * @param column the column from 1; 0 if there is no text
 * @since 0.1
 */
public record Position(int line, int column) {
  /** The position of a value that comes from no text. */
  public static final Position NONE = new Position(0, 0);

  /**
   * Returns a position further to the right in the line.
   *
   * @param characters the number of characters to move by
   * @return the new position
   */
  public Position plus(int characters) {
    return new Position(line, column + characters);
  }
}
