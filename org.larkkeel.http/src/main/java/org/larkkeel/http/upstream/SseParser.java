/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Splits a stream of server-sent events into the data of each event.
 *
 * <p>Only {@code data} fields are read; comments and other fields are skipped. Memory is bounded:
 * an event larger than the limit is an error. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class SseParser {
  private static final String DATA_FIELD = "data:";

  private final int maxEventBytes;
  private final Consumer<String> events;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private final StringBuilder data = new StringBuilder();
  private boolean hasData;
  private boolean afterCarriageReturn;

  /**
   * Creates a parser.
   *
   * @param maxEventBytes the maximum size of an event
   * @param events receives the data of each event
   */
  public SseParser(int maxEventBytes, Consumer<String> events) {
    this.maxEventBytes = maxEventBytes;
    this.events = events;
  }

  /**
   * Parses the next bytes of the stream.
   *
   * @param part the bytes; all of them are consumed unless an event is too large
   * @return false if an event is larger than the limit; the parser must not be used after that
   */
  public boolean accept(ByteBuffer part) {
    while (part.hasRemaining()) {
      byte b = part.get();
      boolean endsCrLf = b == '\n' && afterCarriageReturn;
      afterCarriageReturn = b == '\r';
      if (endsCrLf) {
        continue;
      }
      if (b == '\n' || b == '\r') {
        endLine();
        continue;
      }
      line.write(b);
      if (line.size() + data.length() > maxEventBytes) {
        return false;
      }
    }
    return true;
  }

  private void endLine() {
    String text = line.toString(StandardCharsets.UTF_8);
    line.reset();
    if (text.isEmpty()) {
      endEvent();
    } else if (text.startsWith(DATA_FIELD)) {
      addData(text.substring(DATA_FIELD.length()));
    }
  }

  private void addData(String value) {
    if (hasData) {
      data.append('\n');
    }
    data.append(value.startsWith(" ") ? value.substring(1) : value);
    hasData = true;
  }

  private void endEvent() {
    if (!hasData) {
      return;
    }
    String event = data.toString();
    data.setLength(0);
    hasData = false;
    events.accept(event);
  }
}
