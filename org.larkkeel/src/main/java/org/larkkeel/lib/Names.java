/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.lib;

/**
 * The syntax of names and label parts.
 *
 * <p>Names are checked by a loop instead of a regular expression, as each message between nodes
 * carries a name for each upstream.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class Names {
  /** The maximum length of a name, in characters. */
  public static final int MAX_LENGTH = 128;

  /** The characters allowed between letters and digits, but not at the beginning or the end. */
  private static final String INNER_CHARACTERS = "._/-";

  private Names() {}

  /**
   * Returns whether a text is a valid name.
   *
   * @param value the text, never null
   * @return true if the text can be used as a name
   */
  public static boolean isValid(String value) {
    int length = value.length();
    if (length == 0 || length > MAX_LENGTH) {
      return false;
    }
    for (int i = 1; i < length - 1; i++) {
      char c = value.charAt(i);
      if (!isLetterOrDigit(c) && INNER_CHARACTERS.indexOf(c) < 0) {
        return false;
      }
    }
    return isLetterOrDigit(value.charAt(0)) && isLetterOrDigit(value.charAt(length - 1));
  }

  private static boolean isLetterOrDigit(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
  }

  /**
   * Validates a name.
   *
   * @param what the kind of the named object, used in the message
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
