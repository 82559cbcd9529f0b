/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.selector;

/**
 * Thrown if a selector cannot be parsed.
 *
 * @since 0.1
 */
public final class SelectorSyntaxException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  /** The offset of the offending character. */
  private final int position;

  /** The text that was expected at the position. */
  private final String expected;

  /**
   * Creates an exception.
   *
   * @param text the selector
   * @param position the offset of the offending character
   * @param expected what was expected there
   */
  public SelectorSyntaxException(String text, int position, String expected) {
    super("selector \"" + text + "\": at character " + (position + 1) + " expected " + expected);
    this.position = position;
    this.expected = expected;
  }

  /**
   * Returns the position of the error.
   *
   * @return the offset of the offending character from 0
   */
  public int position() {
    return position;
  }

  /**
   * Returns what was expected at the position.
   *
   * @return the expected text
   */
  public String expected() {
    return expected;
  }
}
