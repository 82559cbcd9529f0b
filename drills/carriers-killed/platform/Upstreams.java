/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A process that answers as an upstream of several services, in each framing.
 *
 * <p>Arguments: IP, PORT and ID, of one upstream after the other. Writes the time of its start once
 * it listens, and ends with its input.
 */
final class Upstreams {
  private static final long BORN = System.currentTimeMillis();

  /** From the request to the head and the first part. */
  private static final int FIRST_MILLIS = 40;

  private final String id;

  private Upstreams(String id) {
    this.id = id;
  }

  public static void main(String[] args) throws IOException {
    for (int i = 0; i < args.length; i += 3) {
      Upstreams u = new Upstreams(args[i + 2]);
      new Kit.Server(new InetSocketAddress(args[i], Integer.parseInt(args[i + 1])), u::answer);
    }
    System.out.println(BORN);
    while (System.in.read() >= 0) {
      // Only the end matters.
    }
    System.exit(0);
  }

  private void answer(Kit.Message r, Socket socket, OutputStream out) throws Exception {
    String expected = r.header("X-Expect-Instance");
    String wire = r.header("X-Request-Id");
    String echo = wire == null ? "" : "X-Request-Id: " + wire + "\r\n";
    if (expected != null && !expected.equals(id)) {
      Kit.respond(out, 421, echo + "X-Not-Run: 1\r\n", "");
    } else if (r.target().equals("/larkkeel/report")) {
      Kit.respond(out, 200, "Content-Type: application/json\r\n", "{\"born\":%d}".formatted(BORN));
    } else if (r.target().startsWith("/larkkeel/")) {
      Kit.respond(out, 404, "", "");
    } else {
      String last = r.header("Last-Event-Id");
      write(
          Answer.ofPath(r.target()),
          last == null ? 0 : Integer.parseInt(last),
          echo + "X-Server-Stamp: " + id + "." + wire + "\r\n",
          socket,
          out);
    }
  }

  private void write(Answer a, int last, String headers, Socket socket, OutputStream out)
      throws Exception {
    byte[][] parts = new byte[a.parts() - last][];
    long length = 0;
    for (int i = 0; i < parts.length; i++) {
      parts[i] = a.part(last + i + 1);
      length += parts[i].length;
    }
    long begin = System.nanoTime();
    sleepUntil(begin, FIRST_MILLIS);
    String framing =
        switch (a.framing()) {
          case CHUNKS -> "Transfer-Encoding: chunked\r\n";
          case LENGTH -> "Content-Length: " + length + "\r\n";
          case NONE -> "Connection: close\r\n";
        };
    String type = a.kind().streams ? "text/event-stream" : "text/plain";
    Kit.write(
        out, "HTTP/1.1 200 OK\r\n" + headers + "Content-Type: " + type + "\r\n" + framing + "\r\n");
    for (int i = 0; i < parts.length; i++) {
      int share =
          a.kind().streams
              ? (a.millis() - FIRST_MILLIS) * i / parts.length
              : (a.millis() - FIRST_MILLIS) * (i + 1) / (parts.length + 1);
      sleepUntil(begin, FIRST_MILLIS + share);
      if (a.framing() == Answer.Framing.CHUNKS) {
        Kit.write(out, Integer.toHexString(parts[i].length) + "\r\n");
      }
      out.write(parts[i]);
      if (a.framing() == Answer.Framing.CHUNKS) {
        out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
      }
      out.flush();
    }
    sleepUntil(begin, a.millis());
    switch (a.framing()) {
      case CHUNKS -> Kit.write(out, "0\r\n\r\n");
      case LENGTH -> out.flush();
      case NONE -> socket.close();
    }
  }

  private static void sleepUntil(long begin, int millis) throws InterruptedException {
    long left = millis - (System.nanoTime() - begin) / 1_000_000;
    if (left > 0) {
      Thread.sleep(left);
    }
  }
}
