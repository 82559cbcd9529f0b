/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.internal.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonStreamContext;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Finds the bounds of list elements that cannot be read as trees: values beyond the limits of the
 * reader, and elements after malformed text.
 *
 * <p>Invariants: only tokens are read, so the nesting of a value costs no stack and its numbers are
 * not converted; a search reads no part of the list more than once. Confined to one thread.
 */
public final class ElementScanner {
  private static final JsonFactory TOKENS =
      JsonFactory.builder()
          .streamReadConstraints(
              StreamReadConstraints.builder()
                  .maxNestingDepth(Integer.MAX_VALUE)
                  .maxNumberLength(Integer.MAX_VALUE)
                  .maxNameLength(Integer.MAX_VALUE)
                  .maxStringLength(Integer.MAX_VALUE)
                  .build())
          .enable(JsonReadFeature.ALLOW_UNESCAPED_CONTROL_CHARS)
          .disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
          .build();

  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,252}");

  private final char[] text;
  private final int end;
  private final FieldNames names;

  /**
   * The names of the fields by which elements are recognized.
   *
   * @param object the field of an event that holds its object
   * @param metadata the field of an object that holds its metadata
   * @param name the field of the metadata that holds the name of the object
   */
  public record FieldNames(String object, String metadata, String name) {}

  /**
   * An element that is complete.
   *
   * @param end the offset after the element
   * @param name the name of its object; empty if it has none, or one with another syntax
   */
  public record Outline(int end, String name) {}

  /** An object that was begun at an offset. */
  private static final class Begun {
    final int start;
    boolean isElement;

    Begun(int start) {
      this.start = start;
    }
  }

  /**
   * Creates a scanner.
   *
   * @param text the answer, one character for each byte
   * @param end the offset at which the list ends
   * @param names the names of the fields
   */
  public ElementScanner(String text, int end, FieldNames names) {
    this.text = text.toCharArray();
    this.end = end;
    this.names = names;
  }

  /**
   * Returns the outline of the value at an offset; empty if its tokens are malformed or neither a
   * comma nor the end of the list follows.
   */
  public Optional<Outline> outlineAt(int at) {
    String name = "";
    try (JsonParser parser = TOKENS.createParser(text, at, end - at)) {
      JsonToken token = parser.nextToken();
      int depth = 0;
      while (token != null) {
        depth += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
        if (token == JsonToken.VALUE_STRING && isObjectName(parser.getParsingContext())) {
          name = parser.getText();
        }
        if (depth == 0) {
          parser.finishToken();
          int after = at + (int) parser.currentLocation().getCharOffset();
          return isBoundary(after)
              ? Optional.of(new Outline(after, NAME.matcher(name).matches() ? name : ""))
              : Optional.empty();
        }
        token = parser.nextToken();
      }
    } catch (IOException e) {
      return Optional.empty();
    }
    return Optional.empty();
  }

  private boolean isObjectName(JsonStreamContext context) {
    if (!names.name().equals(context.getCurrentName())) {
      return false;
    }
    JsonStreamContext object = context.getParent();
    if (!names.metadata().equals(object.getCurrentName())) {
      return false;
    }
    JsonStreamContext event = object.getParent();
    return event.inRoot()
        || (names.object().equals(event.getCurrentName()) && event.getParent().inRoot());
  }

  /**
   * Returns the offset of the next element after a comma behind an offset; past the end of the list
   * if there is none.
   */
  public int nextElementAfter(int at) {
    int from = at;
    while (from < end) {
      int comma = indexOfComma(from);
      int candidate = skipSpace(comma + 1);
      if (candidate >= end) {
        break;
      }
      if (text[candidate] == '{') {
        Found found = firstElementFrom(candidate);
        if (found.start() >= 0) {
          return found.start();
        }
        from = Math.max(found.end(), candidate + 1);
      } else {
        from = comma + 1;
      }
    }
    return end + 1;
  }

  /**
   * The result of a search.
   *
   * @param start the offset of the first element; negative if there is none
   * @param end the offset at which the search ended
   */
  private record Found(int start, int end) {}

  /**
   * Returns the first complete element from the object at an offset up to the end of that object or
   * the first malformed token.
   */
  private Found firstElementFrom(int at) {
    Deque<Begun> open = new ArrayDeque<>();
    int first = Integer.MAX_VALUE;
    int reached = at;
    try (JsonParser parser = TOKENS.createParser(text, at, end - at)) {
      for (JsonToken t = parser.nextToken(); t != null; t = parser.nextToken()) {
        reached = at + (int) parser.currentLocation().getCharOffset();
        if (t == JsonToken.START_OBJECT) {
          open.push(new Begun(at + (int) parser.currentTokenLocation().getCharOffset()));
        } else if (t == JsonToken.FIELD_NAME) {
          open.peek().isElement |=
              parser.currentName().equals(names.metadata())
                  || parser.currentName().equals(names.object());
        } else if (t == JsonToken.END_OBJECT) {
          Begun ended = open.pop();
          if (ended.isElement && isAfterComma(ended.start) && isBoundary(reached)) {
            first = Math.min(first, ended.start);
          }
          if (open.isEmpty()) {
            break;
          }
        }
      }
    } catch (IOException e) {
      // The objects that are still open have the malformed token too.
    }
    return new Found(first == Integer.MAX_VALUE ? -1 : first, reached);
  }

  private boolean isAfterComma(int start) {
    int at = start - 1;
    while (at >= 0 && text[at] <= ' ') {
      at--;
    }
    return at >= 0 && text[at] == ',';
  }

  private boolean isBoundary(int at) {
    int next = skipSpace(at);
    return next >= end || text[next] == ',';
  }

  private int indexOfComma(int from) {
    int at = from;
    while (at < end && text[at] != ',') {
      at++;
    }
    return at;
  }

  private int skipSpace(int from) {
    int at = from;
    while (at < end && text[at] <= ' ') {
      at++;
    }
    return at;
  }
}
