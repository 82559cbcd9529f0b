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

/** Reads JSON with comments into located values. Not safe for use by several threads. */
final class LocatedParser {
  private static final JsonFactory FACTORY =
      JsonFactory.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
          .build();

  private final ProblemCollector problems;
  private final Map<JsonPath, Position> positions = new LinkedHashMap<>();

  LocatedParser(ProblemCollector problems) {
    this.problems = problems;
  }

  /** Reads one value; empty after a syntax error, which is then among the problems. */
  Optional<Located> parse(String text) {
    try (JsonParser parser = FACTORY.createParser(text)) {
      if (parser.nextToken() == null) {
        problems.error(
            new Position(1, 1), JsonPath.ROOT, "", "the document is empty", "write an object {}");
        return Optional.empty();
      }
      Located value = value(parser, JsonPath.ROOT);
      if (parser.nextToken() != null) {
        problems.error(
            position(parser.currentTokenLocation()),
            JsonPath.ROOT,
            parser.getText(),
            "text follows the end of the document",
            "remove it");
      }
      return Optional.of(value);
    } catch (JsonProcessingException e) {
      problems.error(
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

  /** Where each value of the document begins. */
  ImmutableMap<JsonPath, Position> positions() {
    return ImmutableMap.copyOf(positions);
  }

  private Located value(JsonParser parser, JsonPath path) throws IOException {
    Position at = position(parser.currentTokenLocation());
    positions.putIfAbsent(path, at);
    return switch (parser.currentToken()) {
      case START_OBJECT -> fields(parser, path, at);
      case START_ARRAY -> items(parser, path, at);
      case VALUE_STRING -> new Located.Text(at, parser.getText());
      case VALUE_NUMBER_INT -> whole(parser, at);
      default -> new Located.Other(at, parser.getText());
    };
  }

  private Located fields(JsonParser parser, JsonPath path, Position at) throws IOException {
    Map<String, Located.Field> fields = new LinkedHashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String key = parser.currentName();
      Position keyAt = position(parser.currentTokenLocation());
      parser.nextToken();
      JsonPath child = path.child(key);
      Located.Field earlier = fields.get(key);
      Located.Field field = new Located.Field(keyAt, value(parser, child));
      if (earlier == null) {
        fields.put(key, field);
      } else {
        problems.error(
            keyAt,
            child,
            "",
            "the name stands already in line " + earlier.keyAt().line(),
            "rename or remove one of the two");
      }
    }
    return new Located.Fields(at, ImmutableMap.copyOf(fields));
  }

  private Located items(JsonParser parser, JsonPath path, Position at) throws IOException {
    ImmutableList.Builder<Located> items = ImmutableList.builder();
    int index = 0;
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      items.add(value(parser, path.item(index)));
      index++;
    }
    return new Located.Items(at, items.build());
  }

  private static Located whole(JsonParser parser, Position at) throws IOException {
    return switch (parser.getNumberType()) {
      case INT, LONG -> new Located.Whole(at, parser.getLongValue());
      default -> new Located.Other(at, parser.getText());
    };
  }

  private static Position position(JsonLocation location) {
    return location == null
        ? Position.NONE
        : new Position(location.getLineNr(), location.getColumnNr());
  }
}
