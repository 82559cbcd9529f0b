/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A caller whose every byte is chosen by the test. Used by one thread. */
public final class RawCaller implements AutoCloseable {
  private static final int PATIENCE_MILLIS = 10_000;

  private final Socket socket = new Socket();
  private final InputStream in;

  /** An answer as it came. */
  public record Answer(int status, Map<String, String> headers, String body) {
    /** A header by its name in lower case; empty if missing. */
    public String header(String name) {
      return headers.getOrDefault(name, "");
    }
  }

  /** Connects. */
  public RawCaller(InetSocketAddress address) throws IOException {
    socket.setReceiveBufferSize(4096);
    socket.connect(address);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(PATIENCE_MILLIS);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Writes text as it is. */
  public RawCaller raw(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    socket.getOutputStream().flush();
    return this;
  }

  /** Writes a whole request of the open workspace; each header line ends with a line break. */
  public RawCaller send(String method, String target, String headers, String body)
      throws IOException {
    int length = body.getBytes(StandardCharsets.UTF_8).length;
    return raw(
        method
            + " "
            + target
            + " HTTP/1.1\r\nHost: t\r\nX-Larkkeel-Workspace: open\r\n"
            + headers
            + "Content-Length: "
            + length
            + "\r\n\r\n"
            + body);
  }

  /** The connection. */
  public Socket socket() {
    return socket;
  }

  /** Reads status and headers. */
  public Answer head() throws IOException {
    String first = ScriptedServer.line(in);
    if (first == null) {
      throw new IOException("closed without an answer");
    }
    Map<String, String> headers = new TreeMap<>();
    for (String line = ScriptedServer.line(in); !line.isEmpty(); line = ScriptedServer.line(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    return new Answer(Integer.parseInt(first.substring(9, 12)), headers, "");
  }

  /** Reads a whole answer, chunked or not. */
  public Answer answer() throws IOException {
    Answer head = head();
    StringBuilder body = new StringBuilder();
    if (head.header("transfer-encoding").equals("chunked")) {
      for (String chunk = chunk(); !chunk.isEmpty(); chunk = chunk()) {
        body.append(chunk);
      }
    } else {
      int length = Integer.parseInt(head.headers().getOrDefault("content-length", "0"));
      body.append(new String(in.readNBytes(length), StandardCharsets.UTF_8));
    }
    return new Answer(head.status(), head.headers(), body.toString());
  }

  /** Reads one chunk; empty at the end. */
  public String chunk() throws IOException {
    String line = ScriptedServer.line(in);
    if (line == null) {
      throw new IOException("the answer is cut");
    }
    int size = Integer.parseInt(line, 16);
    String chunk = new String(in.readNBytes(size), StandardCharsets.UTF_8);
    ScriptedServer.line(in);
    return chunk;
  }

  /** Reads one byte; -1 at the end. */
  public int read() throws IOException {
    return in.read();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
