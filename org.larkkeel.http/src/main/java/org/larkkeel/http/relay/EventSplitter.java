/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/**
 * Cuts an event stream into whole events without changing a byte.
 *
 * <p>An event ends with an empty line. Not safe for use by several threads.
 */
final class EventSplitter {
  private static final String ID_FIELD = "id:";

  private final int maxBytes;
  private final ByteArrayOutputStream part = new ByteArrayOutputStream();
  private int lineLength;
  private boolean afterReturn;

  /** An event, with its bytes as they came and its number if it has one. */
  @SuppressWarnings("ArrayRecordComponent") // The bytes are handed on and never changed.
  record Whole(byte[] bytes, OptionalLong id) {}

  /** Takes events of at most so many bytes. */
  EventSplitter(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Whether an event is larger than it may be. */
  boolean isTooLarge() {
    return part.size() > maxBytes;
  }

  /** The next whole event; null if the bytes hold none. */
  Whole next(ByteBuffer bytes) {
    while (bytes.hasRemaining()) {
      byte b = bytes.get();
      part.write(b);
      if (b == '\n' || b == '\r') {
        boolean secondOfPair = b == '\n' && afterReturn;
        afterReturn = b == '\r';
        if (!secondOfPair && endLine(bytes)) {
          return take();
        }
      } else {
        afterReturn = false;
        lineLength++;
      }
    }
    return null;
  }

  /** The bytes after the last whole event. */
  byte[] rest() {
    byte[] rest = part.toByteArray();
    part.reset();
    return rest;
  }

  private boolean endLine(ByteBuffer bytes) {
    boolean empty = lineLength == 0;
    lineLength = 0;
    if (empty && afterReturn && bytes.hasRemaining() && bytes.get(bytes.position()) == '\n') {
      part.write(bytes.get());
      afterReturn = false;
    }
    return empty;
  }

  private Whole take() {
    byte[] whole = part.toByteArray();
    part.reset();
    return new Whole(whole, id(whole));
  }

  private static OptionalLong id(byte[] event) {
    String text = new String(event, StandardCharsets.ISO_8859_1);
    int line = 0;
    while (line < text.length()) {
      int end = lineEnd(text, line);
      if (text.startsWith(ID_FIELD, line)) {
        return number(text.substring(line + ID_FIELD.length(), end).strip());
      }
      line = end + 1;
    }
    return OptionalLong.empty();
  }

  private static int lineEnd(String text, int from) {
    int end = from;
    while (end < text.length() && text.charAt(end) != '\r' && text.charAt(end) != '\n') {
      end++;
    }
    return end;
  }

  private static OptionalLong number(String text) {
    try {
      return OptionalLong.of(Long.parseLong(text));
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }
}
