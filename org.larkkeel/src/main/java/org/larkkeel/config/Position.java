/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

/**
 * A place in a text.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param line the line from 1; 0 if there is no text
 * @param column the column from 1; 0 if there is no text
 * @since 0.1
 */
public record Position(int line, int column) {
  /** No place in any text. */
  public static final Position NONE = new Position(0, 0);

  /**
   * Moves along the line.
   *
   * @param characters how far
   * @return the place that many characters on
   */
  public Position plus(int characters) {
    return new Position(line, column + characters);
  }
}
