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

/** A caller whose bytes the test controls. Not safe for use by several threads. */
public final class RawCaller implements AutoCloseable {
  private static final int TIMEOUT_MILLIS = 10_000;

  private final Socket socket = new Socket();
  private final InputStream in;

  /** An answer as received, with header names in lower case. */
  public record Answer(int status, Map<String, String> headers, String body) {
    /** Returns a header by its name in lower case; empty if missing. */
    public String header(String name) {
      return headers.getOrDefault(name, "");
    }
  }

  /** Connects to a listener. */
  public RawCaller(InetSocketAddress address) throws IOException {
    socket.setReceiveBufferSize(4096);
    socket.connect(address);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Writes text unchanged. */
  public RawCaller raw(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    socket.getOutputStream().flush();
    return this;
  }

  /** Writes a complete request for the open workspace; each header line ends with CR LF. */
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

  /** Returns the connection. */
  public Socket socket() {
    return socket;
  }

  /** Reads the status and headers of an answer. */
  public Answer head() throws IOException {
    String first = ScriptedServer.line(in);
    if (first == null) {
      throw new IOException("the connection was closed without an answer");
    }
    Map<String, String> headers = new TreeMap<>();
    for (String line = ScriptedServer.line(in); !line.isEmpty(); line = ScriptedServer.line(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    return new Answer(Integer.parseInt(first.substring(9, 12)), headers, "");
  }

  /** Reads a complete answer, chunked or with a length. */
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

  /** Reads one chunk; returns an empty text at the end. */
  public String chunk() throws IOException {
    String line = ScriptedServer.line(in);
    if (line == null) {
      throw new IOException("the connection was closed inside a chunked answer");
    }
    int size = Integer.parseInt(line, 16);
    String chunk = new String(in.readNBytes(size), StandardCharsets.UTF_8);
    ScriptedServer.line(in);
    return chunk;
  }

  /** Reads one byte; returns -1 at the end of the stream. */
  public int read() throws IOException {
    return in.read();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
