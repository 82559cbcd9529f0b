/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

/** A JSON value with its place in the text. Immutable and safe for use by several threads. */
sealed interface Located {
  /** Where the value begins. */
  Position at();

  /** A string. */
  record Text(Position at, String value) implements Located {}

  /** A whole number within the range of {@code long}. */
  record Whole(Position at, long value) implements Located {}

  /** An array. */
  record Items(Position at, ImmutableList<Located> values) implements Located {}

  /** An object; its keys keep their order. */
  record Fields(Position at, ImmutableMap<String, Field> values) implements Located {}

  /** A value that no key takes: null, a boolean, a fraction or a number out of range. */
  record Other(Position at, String text) implements Located {}

  /** A member of an object: where its key stands and its value. */
  record Field(Position keyAt, Located value) {}

  /** What the value is, for messages. */
  default String type() {
    return switch (this) {
      case Text text -> "a string";
      case Whole whole -> "a whole number";
      case Items items -> "an array";
      case Fields fields -> "an object";
      case Other other -> "null, a boolean, a fraction or a number out of range";
    };
  }

  /** The value as text, for messages. */
  default String show() {
    return switch (this) {
      case Text text -> '"' + text.value() + '"';
      case Whole whole -> Long.toString(whole.value());
      case Items items -> "[...]";
      case Fields fields -> "{...}";
      case Other other -> other.text();
    };
  }
}
