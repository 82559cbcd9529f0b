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
 * Splits an event stream into complete events, with their bytes unchanged.
 *
 * <p>An event ends with an empty line. Not safe for use by several threads.
 */
final class EventSplitter {
  private static final String ID_FIELD = "id:";

  private final int maxBytes;
  private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();
  private int lineLength;
  private boolean afterCarriageReturn;

  /** A complete event: its bytes as received, and its id if that is a number. */
  @SuppressWarnings("ArrayRecordComponent") // The array is passed on and never modified.
  record StreamEvent(byte[] bytes, OptionalLong id) {}

  /** Creates a splitter for events of at most {@code maxBytes} bytes. */
  EventSplitter(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Returns whether the incomplete event is larger than the limit. */
  boolean isTooLarge() {
    return buffered.size() > maxBytes;
  }

  /**
   * Reads the next complete event; returns null, and keeps the bytes, if they do not complete one.
   */
  StreamEvent next(ByteBuffer bytes) {
    while (bytes.hasRemaining()) {
      byte b = bytes.get();
      buffered.write(b);
      if (b == '\n' || b == '\r') {
        boolean secondOfPair = b == '\n' && afterCarriageReturn;
        afterCarriageReturn = b == '\r';
        if (!secondOfPair && endLine(bytes)) {
          return takeEvent();
        }
      } else {
        afterCarriageReturn = false;
        lineLength++;
      }
    }
    return null;
  }

  /** Removes and returns the bytes after the last complete event. */
  byte[] takeRemainder() {
    byte[] remainder = buffered.toByteArray();
    buffered.reset();
    return remainder;
  }

  private boolean endLine(ByteBuffer bytes) {
    boolean empty = lineLength == 0;
    lineLength = 0;
    if (empty
        && afterCarriageReturn
        && bytes.hasRemaining()
        && bytes.get(bytes.position()) == '\n') {
      buffered.write(bytes.get());
      afterCarriageReturn = false;
    }
    return empty;
  }

  private StreamEvent takeEvent() {
    byte[] event = buffered.toByteArray();
    buffered.reset();
    return new StreamEvent(event, id(event));
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
