/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.lib;

import java.util.regex.Pattern;

/**
 * The syntax of names and label parts.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class Names {
  /** The longest name accepted, in characters. */
  public static final int MAX_LENGTH = 128;

  private static final Pattern SYNTAX =
      Pattern.compile("[A-Za-z0-9]([A-Za-z0-9._/-]*[A-Za-z0-9])?");

  private Names() {}

  /**
   * Tells whether a text is a valid name.
   *
   * @param value the text, never null
   * @return true if the text may be used as a name
   */
  public static boolean isValid(String value) {
    return value.length() <= MAX_LENGTH && SYNTAX.matcher(value).matches();
  }

  /**
   * Checks a name.
   *
   * @param what what the text names, for the message
   * @param value the text
   * @return the text
   * @throws IllegalArgumentException if the text is not a valid name
   */
  public static String check(String what, String value) {
    if (value == null || !isValid(value)) {
      throw new IllegalArgumentException(
          "the name of "
              + what
              + " is \""
              + value
              + "\": use 1 to "
              + MAX_LENGTH
              + " letters, digits and . _ / -, beginning and ending with a letter or a digit");
    }
    return value;
  }
}
