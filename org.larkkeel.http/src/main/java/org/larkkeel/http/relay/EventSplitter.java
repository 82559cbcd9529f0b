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
    int start = bytes.position();
    for (int at = start; at < bytes.limit(); at++) {
      byte b = bytes.get(at);
      if (b != '\n' && b != '\r') {
        afterCarriageReturn = false;
        lineLength++;
        continue;
      }
      boolean secondOfPair = b == '\n' && afterCarriageReturn;
      afterCarriageReturn = b == '\r';
      if (secondOfPair) {
        continue;
      }
      boolean empty = lineLength == 0;
      lineLength = 0;
      if (empty) {
        int end = at + 1;
        if (afterCarriageReturn && end < bytes.limit() && bytes.get(end) == '\n') {
          afterCarriageReturn = false;
          end++;
        }
        return takeEvent(bytes, end - start);
      }
    }
    buffered.writeBytes(take(bytes, bytes.remaining()));
    return null;
  }

  /** Removes and returns the bytes after the last complete event. */
  byte[] takeRemainder() {
    byte[] remainder = buffered.toByteArray();
    buffered.reset();
    return remainder;
  }

  private StreamEvent takeEvent(ByteBuffer bytes, int length) {
    byte[] event = take(bytes, length);
    if (buffered.size() > 0) {
      buffered.writeBytes(event);
      event = takeRemainder();
    }
    return new StreamEvent(event, id(event));
  }

  private static byte[] take(ByteBuffer bytes, int length) {
    byte[] taken = new byte[length];
    bytes.get(taken);
    return taken;
  }

  private static OptionalLong id(byte[] event) {
    int line = 0;
    while (line < event.length) {
      int end = lineEnd(event, line);
      if (isIdField(event, line, end)) {
        int value = line + ID_FIELD.length();
        return number(new String(event, value, end - value, StandardCharsets.ISO_8859_1).strip());
      }
      line = end + 1;
    }
    return OptionalLong.empty();
  }

  private static int lineEnd(byte[] event, int from) {
    int end = from;
    while (end < event.length && event[end] != '\r' && event[end] != '\n') {
      end++;
    }
    return end;
  }

  private static boolean isIdField(byte[] event, int line, int end) {
    if (end - line < ID_FIELD.length()) {
      return false;
    }
    for (int i = 0; i < ID_FIELD.length(); i++) {
      if (event[line + i] != ID_FIELD.charAt(i)) {
        return false;
      }
    }
    return true;
  }

  private static OptionalLong number(String text) {
    try {
      return OptionalLong.of(Long.parseLong(text));
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }
}
