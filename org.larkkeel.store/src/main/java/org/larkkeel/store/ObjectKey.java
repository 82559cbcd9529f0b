/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import java.util.regex.Pattern;

/**
 * The key of one object of the platform's object API.
 *
 * <p>Invariant: both parts consist of 1 to 253 letters, digits, {@code .}, {@code _} and {@code -},
 * so that they need no escaping in a path. Immutable.
 *
 * @param collection the collection, never null
 * @param name the name within the collection, never null
 * @since 0.1
 */
public record ObjectKey(String collection, String name) {
  private static final Pattern SYNTAX = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,252}");

  /** Checks the syntax of both parts. */
  public ObjectKey {
    check("collection", collection);
    check("name", name);
  }

  /**
   * Checks the syntax of one part of a key.
   *
   * @param partName the name of the part, for the exception message
   * @param value the text
   * @throws IllegalArgumentException if the text does not have the syntax of a part of a key
   */
  public static void check(String partName, String value) {
    if (!SYNTAX.matcher(value).matches()) {
      throw new IllegalArgumentException(
          "the object's "
              + partName
              + " is \""
              + value
              + "\": use 1 to 253 letters, digits, . _ and -, beginning with a letter or a digit");
    }
  }

  @Override
  public String toString() {
    return collection + "/" + name;
  }
}
