/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Parses JSON with comments and trailing commas into values with positions. An instance parses one
 * document. Not safe for use by several threads.
 */
final class LocatedValueParser {
  private static final JsonFactory FACTORY =
      JsonFactory.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
          .build();

  private final ProblemCollector problems;
  private final Map<JsonPath, Position> positions = new LinkedHashMap<>();

  LocatedValueParser(ProblemCollector problems) {
    this.problems = problems;
  }

  /**
   * Parses a document. Returns empty if it is blank or has a syntax error, which is added to the
   * problems.
   */
  Optional<LocatedValue> parse(String text) {
    try (JsonParser parser = FACTORY.createParser(text)) {
      if (parser.nextToken() == null) {
        problems.addError(
            new Position(1, 1), JsonPath.ROOT, "", "the document is empty", "write an object {}");
        return Optional.empty();
      }
      LocatedValue value = parseValue(parser, JsonPath.ROOT);
      if (parser.nextToken() != null) {
        problems.addError(
            position(parser.currentTokenLocation()),
            JsonPath.ROOT,
            parser.getText(),
            "text follows the end of the document",
            "remove it");
      }
      return Optional.of(value);
    } catch (JsonProcessingException e) {
      problems.addError(
          position(e.getLocation()),
          JsonPath.ROOT,
          "",
          "not valid JSON: " + e.getOriginalMessage(),
          "correct the syntax");
      return Optional.empty();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the position where each value of the document begins. */
  ImmutableMap<JsonPath, Position> positions() {
    return ImmutableMap.copyOf(positions);
  }

  private LocatedValue parseValue(JsonParser parser, JsonPath path) throws IOException {
    Position position = position(parser.currentTokenLocation());
    positions.putIfAbsent(path, position);
    return switch (parser.currentToken()) {
      case START_OBJECT -> parseObject(parser, path, position);
      case START_ARRAY -> parseArray(parser, path, position);
      case VALUE_STRING -> new LocatedValue.Text(position, parser.getText());
      case VALUE_NUMBER_INT -> parseNumber(parser, position);
      default -> new LocatedValue.Other(position, parser.getText());
    };
  }

  private LocatedValue parseObject(JsonParser parser, JsonPath path, Position position)
      throws IOException {
    Map<String, LocatedValue.Member> members = new LinkedHashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String key = parser.currentName();
      Position keyPosition = position(parser.currentTokenLocation());
      parser.nextToken();
      JsonPath child = path.child(key);
      LocatedValue.Member earlier = members.get(key);
      LocatedValue.Member member = new LocatedValue.Member(keyPosition, parseValue(parser, child));
      if (earlier == null) {
        members.put(key, member);
      } else {
        problems.addError(
            keyPosition,
            child,
            "",
            "the name stands already in line " + earlier.keyPosition().line(),
            "rename or remove one of the two");
      }
    }
    return new LocatedValue.ObjectValue(position, ImmutableMap.copyOf(members));
  }

  private LocatedValue parseArray(JsonParser parser, JsonPath path, Position position)
      throws IOException {
    ImmutableList.Builder<LocatedValue> items = ImmutableList.builder();
    int index = 0;
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      items.add(parseValue(parser, path.item(index)));
      index++;
    }
    return new LocatedValue.ArrayValue(position, items.build());
  }

  private static LocatedValue parseNumber(JsonParser parser, Position position) throws IOException {
    return switch (parser.getNumberType()) {
      case INT, LONG -> new LocatedValue.WholeNumber(position, parser.getLongValue());
      default -> new LocatedValue.Other(position, parser.getText());
    };
  }

  private static Position position(JsonLocation location) {
    return location == null
        ? Position.NONE
        : new Position(location.getLineNr(), location.getColumnNr());
  }
}
