/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import java.util.regex.Pattern;

/**
 * Names one object of the platform's object API.
 *
 * <p>Invariant: both parts are 1 to 253 letters, digits, {@code .}, {@code _} and {@code -}, so
 * that they need no escaping in a path. Immutable.
 *
 * @param collection the collection, never null
 * @param name the name within the collection, never null
 * @since 0.1
 */
public record ObjectKey(String collection, String name) {
  private static final Pattern SYNTAX = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,252}");

  /** Checks both parts. */
  public ObjectKey {
    check("collection", collection);
    check("name", name);
  }

  /**
   * Checks one part of a key.
   *
   * @param what the part, for the message
   * @param value the text
   * @throws IllegalArgumentException if the text is not usable as a part of a key
   */
  public static void check(String what, String value) {
    if (!SYNTAX.matcher(value).matches()) {
      throw new IllegalArgumentException(
          "the object's "
              + what
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
