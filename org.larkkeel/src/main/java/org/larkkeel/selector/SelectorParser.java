/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.selector;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import org.larkkeel.lib.Names;

/** Parses one selector text; used once, by one thread. */
final class SelectorParser {
  private static final String IN = "in";
  private static final String NOT_IN = "notin";

  private final String text;
  private int position;

  SelectorParser(String text) {
    this.text = text;
  }

  Selector parse() {
    skipSpace();
    if (atEnd()) {
      return Selector.ALL;
    }
    ImmutableList.Builder<Requirement> requirements = ImmutableList.builder();
    requirements.add(requirement());
    while (!atEnd()) {
      expect(',');
      requirements.add(requirement());
    }
    return new Selector(requirements.build());
  }

  private Requirement requirement() {
    skipSpace();
    if (accept('!')) {
      return new Requirement.Absent(word("a label key"));
    }
    String key = word("a label key");
    if (atEnd() || peek() == ',') {
      return new Requirement.Exists(key);
    }
    if (accept('!')) {
      expect('=');
      return new Requirement.NotIn(key, ImmutableSortedSet.of(word("a label value")));
    }
    if (accept('=')) {
      accept('=');
      return new Requirement.In(key, ImmutableSortedSet.of(word("a label value")));
    }
    int operatorAt = position;
    String operator = word("=, !=, in, notin or a comma");
    return switch (operator) {
      case IN -> new Requirement.In(key, values());
      case NOT_IN -> new Requirement.NotIn(key, values());
      default -> throw error(operatorAt, "=, !=, in, notin or a comma");
    };
  }

  private ImmutableSortedSet<String> values() {
    expect('(');
    ImmutableSortedSet.Builder<String> values = ImmutableSortedSet.naturalOrder();
    values.add(word("a label value"));
    while (accept(',')) {
      values.add(word("a label value"));
    }
    expect(')');
    return values.build();
  }

  private String word(String expected) {
    skipSpace();
    int start = position;
    while (!atEnd() && isWordCharacter(peek())) {
      position++;
    }
    String word = text.substring(start, position);
    if (!Names.isValid(word)) {
      throw error(start, expected);
    }
    skipSpace();
    return word;
  }

  private void expect(char c) {
    if (!accept(c)) {
      throw error(position, "'" + c + "'");
    }
  }

  private boolean accept(char c) {
    skipSpace();
    if (atEnd() || peek() != c) {
      return false;
    }
    position++;
    skipSpace();
    return true;
  }

  private void skipSpace() {
    while (!atEnd() && Character.isWhitespace(peek())) {
      position++;
    }
  }

  private boolean atEnd() {
    return position >= text.length();
  }

  private char peek() {
    return text.charAt(position);
  }

  private SelectorSyntaxException error(int at, String expected) {
    return new SelectorSyntaxException(text, at, expected);
  }

  private static boolean isWordCharacter(char c) {
    return Character.isLetterOrDigit(c) || c == '.' || c == '_' || c == '/' || c == '-';
  }
}
