/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * What an upstream answers to a request, which is told by its path. All upstreams give the same
 * bytes, so that a caller knows the whole answer. Immutable.
 *
 * @param size the bytes of the body, or of the data of all events
 * @param millis the time from the request to the end of the answer
 */
record Answer(Kind kind, Framing framing, int size, int millis, int seed) {
  /** What may be done with a call whose answer breaks off. */
  enum Kind {
    /** A plain answer that may be asked for again. */
    SAFE("safe", false),
    /** A plain answer that may be made once. */
    UNSAFE("unsafe", false),
    /** A stream that may be made once. */
    STREAM("streaming", true),
    /** A stream that may be resumed. */
    RESUME("streaming", true);

    final String route;
    final boolean streams;

    Kind(String route, boolean streams) {
      this.route = route;
      this.streams = streams;
    }

    String service() {
      return streams ? "tellers" : "readers";
    }

    String prefix() {
      return "/" + name().toLowerCase(Locale.ROOT) + "/";
    }

    /** Whether a node can serve the whole answer although an attempt has failed. */
    boolean mayRepeat() {
      return this == SAFE || this == RESUME;
    }
  }

  /** What tells the end of an answer of an upstream. */
  enum Framing {
    CHUNKS,
    LENGTH,
    NONE
  }

  private static final int LEAST_PARTS = 8;
  private static final int PART_BYTES = 65_536;

  String path() {
    return kind.prefix() + String.join("-", framing.name(), "" + size, "" + millis, "" + seed);
  }

  static Answer ofPath(String path) {
    String[] parts = path.substring(1).split("/");
    String[] values = parts[1].split("-");
    return new Answer(
        Kind.valueOf(parts[0].toUpperCase(Locale.ROOT)),
        Framing.valueOf(values[0]),
        Integer.parseInt(values[1]),
        Integer.parseInt(values[2]),
        Integer.parseInt(values[3]));
  }

  /** Returns the number of parts in which the body is written; of a stream its events. */
  int parts() {
    return Math.max(kind.streams ? 1 : 0, Math.max(Math.min(size, LEAST_PARTS), size / PART_BYTES));
  }

  /** Returns a part of the body, from 1; of a stream a whole event. */
  byte[] part(int number) {
    int begin = (int) ((long) size * (number - 1) / parts());
    int end = (int) ((long) size * number / parts());
    byte[] data = new byte[end - begin];
    SplittableRandom random = new SplittableRandom(31L * seed + number);
    for (int i = 0; i < data.length; i++) {
      data[i] = (byte) ('0' + (random.nextInt() & 63));
    }
    if (!kind.streams) {
      return data;
    }
    ByteArrayOutputStream event = new ByteArrayOutputStream();
    event.writeBytes("id: %d\ndata: ".formatted(number).getBytes(StandardCharsets.US_ASCII));
    event.writeBytes(data);
    event.writeBytes("\n\n".getBytes(StandardCharsets.US_ASCII));
    return event.toByteArray();
  }

  /** Returns the body, or of a stream the lines with ids and data of its events. */
  byte[] whole() {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    for (int i = 1; i <= parts(); i++) {
      body.writeBytes(part(i));
    }
    return kind.streams ? events(body.toByteArray()) : body.toByteArray();
  }

  /** Returns the lines with ids and data of a stream, without comments and other fields. */
  static byte[] events(byte[] stream) {
    ByteArrayOutputStream lines = new ByteArrayOutputStream();
    for (String line : List.of(new String(stream, StandardCharsets.ISO_8859_1).split("\n"))) {
      if (line.startsWith("id:") || line.startsWith("data:")) {
        lines.writeBytes((line + "\n").getBytes(StandardCharsets.ISO_8859_1));
      }
    }
    return lines.toByteArray();
  }
}
