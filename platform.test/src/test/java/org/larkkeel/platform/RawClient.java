/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;

/** An HTTP client over a plain socket, with one request per connection. Used by one thread. */
final class RawClient implements AutoCloseable {
  private static final int TIMEOUT_MILLIS = 20_000;

  private final Socket socket = new Socket();

  RawClient(InetSocketAddress address) throws IOException {
    socket.connect(address, TIMEOUT_MILLIS);
    socket.setSoTimeout(TIMEOUT_MILLIS);
  }

  static String exchange(
      InetSocketAddress address, String method, String path, String headers, String body)
      throws IOException {
    try (RawClient client = new RawClient(address)) {
      client.send(method, path, headers, body);
      return client.readToEnd();
    }
  }

  /** All received text, and whether the connection ended with a reset. */
  record Ending(String text, boolean isReset) {}

  void send(String method, String path, String headers, String body) throws IOException {
    send("HTTP/1.1", method, path, headers, body);
  }

  private void send(String version, String method, String path, String headers, String body)
      throws IOException {
    RawServer.write(
        socket.getOutputStream(),
        method
            + " "
            + path
            + " "
            + version
            + "\r\nHost: a.example\r\nConnection: close\r\n"
            + (headers.contains("X-Request-Id") ? "" : "X-Request-Id: id-1\r\n")
            + headers
            + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n")
            + "\r\n"
            + body);
  }

  void sendHttp10(String method, String path, String headers, String body) throws IOException {
    send("HTTP/1.0", method, path, headers, body);
  }

  /** Reads until the received text contains a part, and returns the text. */
  String readUntil(String part) throws IOException {
    InputStream in = socket.getInputStream();
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    while (!all.toString(StandardCharsets.ISO_8859_1).contains(part)) {
      int b = in.read();
      if (b < 0) {
        throw new IOException("connection closed after " + all);
      }
      all.write(b);
    }
    return all.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads until the connection ends or is reset, and returns the received text. */
  String readToEnd() throws IOException {
    return readToEnding().text();
  }

  /** Reads until the connection ends or is reset, and returns which of the two happened. */
  Ending readToEnding() throws IOException {
    InputStream in = socket.getInputStream();
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    boolean reset = false;
    try {
      for (int b = in.read(); b >= 0; b = in.read()) {
        all.write(b);
      }
    } catch (SocketException e) {
      reset = true;
    }
    return new Ending(all.toString(StandardCharsets.ISO_8859_1), reset);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
