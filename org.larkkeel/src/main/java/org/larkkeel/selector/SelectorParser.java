/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.selector;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import org.larkkeel.lib.Names;

/** A recursive descent parser of one selector; used once, by one thread. */
final class SelectorParser {
  private static final String IN = "in";
  private static final String NOT_IN = "notin";

  private final String text;
  private int position;

  SelectorParser(String text) {
    this.text = text;
  }

  Selector parse() {
    skipWhitespace();
    if (atEnd()) {
      return Selector.ALL;
    }
    ImmutableList.Builder<Requirement> requirements = ImmutableList.builder();
    requirements.add(parseRequirement());
    while (!atEnd()) {
      expect(',');
      requirements.add(parseRequirement());
    }
    return new Selector(requirements.build());
  }

  private Requirement parseRequirement() {
    skipWhitespace();
    if (accept('!')) {
      return new Requirement.Absent(parseName("a label key"));
    }
    String key = parseName("a label key");
    if (atEnd() || peek() == ',') {
      return new Requirement.Exists(key);
    }
    if (accept('!')) {
      expect('=');
      return new Requirement.NotIn(key, ImmutableSortedSet.of(parseName("a label value")));
    }
    if (accept('=')) {
      accept('=');
      return new Requirement.In(key, ImmutableSortedSet.of(parseName("a label value")));
    }
    int operatorPosition = position;
    String operator = parseName("=, !=, in, notin or a comma");
    return switch (operator) {
      case IN -> new Requirement.In(key, parseValues());
      case NOT_IN -> new Requirement.NotIn(key, parseValues());
      default -> throw syntaxError(operatorPosition, "=, !=, in, notin or a comma");
    };
  }

  private ImmutableSortedSet<String> parseValues() {
    expect('(');
    ImmutableSortedSet.Builder<String> values = ImmutableSortedSet.naturalOrder();
    values.add(parseName("a label value"));
    while (accept(',')) {
      values.add(parseName("a label value"));
    }
    expect(')');
    return values.build();
  }

  private String parseName(String expected) {
    skipWhitespace();
    int start = position;
    while (!atEnd() && isNameCharacter(peek())) {
      position++;
    }
    String name = text.substring(start, position);
    if (!Names.isValid(name)) {
      throw syntaxError(start, expected);
    }
    skipWhitespace();
    return name;
  }

  private void expect(char c) {
    if (!accept(c)) {
      throw syntaxError(position, "'" + c + "'");
    }
  }

  private boolean accept(char c) {
    skipWhitespace();
    if (atEnd() || peek() != c) {
      return false;
    }
    position++;
    skipWhitespace();
    return true;
  }

  private void skipWhitespace() {
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

  private SelectorSyntaxException syntaxError(int errorPosition, String expected) {
    return new SelectorSyntaxException(text, errorPosition, expected);
  }

  private static boolean isNameCharacter(char c) {
    return Character.isLetterOrDigit(c) || c == '.' || c == '_' || c == '/' || c == '-';
  }
}
