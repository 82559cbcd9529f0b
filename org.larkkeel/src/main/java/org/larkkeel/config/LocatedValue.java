/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

/** A JSON value with its position in the text. Immutable and safe for use by several threads. */
sealed interface LocatedValue {
  /** Returns the position where the value begins. */
  Position position();

  /** A string. */
  record Text(Position position, String value) implements LocatedValue {}

  /** A whole number within the range of {@code long}. */
  record WholeNumber(Position position, long value) implements LocatedValue {}

  /** An array. */
  record ArrayValue(Position position, ImmutableList<LocatedValue> items) implements LocatedValue {}

  /** An object; its keys keep their order. */
  record ObjectValue(Position position, ImmutableMap<String, Member> members)
      implements LocatedValue {}

  /**
   * A value of a type that no key accepts: null, a boolean, a fraction or a number out of range.
   */
  record Other(Position position, String text) implements LocatedValue {}

  /** A member of an object: the position of its key, and its value. */
  record Member(Position keyPosition, LocatedValue value) {}

  /** Returns the type of the value, for messages. */
  default String typeName() {
    return switch (this) {
      case Text text -> "a string";
      case WholeNumber number -> "a whole number";
      case ArrayValue array -> "an array";
      case ObjectValue object -> "an object";
      case Other other -> "null, a boolean, a fraction or a number out of range";
    };
  }

  /** Returns the value as text, for messages. */
  default String displayText() {
    return switch (this) {
      case Text text -> '"' + text.value() + '"';
      case WholeNumber number -> Long.toString(number.value());
      case ArrayValue array -> "[...]";
      case ObjectValue object -> "{...}";
      case Other other -> other.text();
    };
  }
}
