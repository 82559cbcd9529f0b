/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * An HTTP server on a loopback address that parses requests and lets a script write arbitrary
 * bytes.
 *
 * <p>Safe for use by several threads.
 */
final class RawServer implements AutoCloseable {
  private final String host;
  private final ServerSocket server;
  private final Script script;
  private final Thread acceptor;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();

  /** A request as received; the header names are in lower case. */
  record Request(String method, String target, Map<String, String> headers, String body) {
    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }
  }

  /** Answers one request; the connection is closed if it throws. */
  interface Script {
    void answer(Request request, OutputStream out, Socket socket) throws Exception;
  }

  /** Starts a server on 127.0.0.1. */
  RawServer(Script script) {
    this("127.0.0.1", script);
  }

  /** Starts a server on a loopback address. */
  RawServer(String host, Script script) {
    this.script = script;
    this.host = host;
    try {
      server = new ServerSocket(0, 50, InetAddress.ofLiteral(host));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    acceptor = Thread.ofVirtual().start(this::accept);
  }

  String address() {
    return host + ":" + server.getLocalPort();
  }

  private void accept() {
    try {
      while (!server.isClosed()) {
        Socket socket = server.accept();
        open.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      }
    } catch (IOException e) {
      // The test has closed the server.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (Request r = read(in); r != null; r = read(in)) {
        script.answer(r, out, socket);
        out.flush();
      }
    } catch (Exception e) {
      // The script or the client closed the connection.
    }
    open.remove(socket);
  }

  private static Request read(InputStream in) throws IOException {
    String first = readLine(in);
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>();
    for (String l = readLine(in); l != null && !l.isEmpty(); l = readLine(in)) {
      int colon = l.indexOf(':');
      headers.put(l.substring(0, colon).toLowerCase(Locale.ROOT), l.substring(colon + 1).strip());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
    String[] words = first.split(" ");
    return new Request(words[0], words[1], headers, body);
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        return null;
      }
      if (b != '\r') {
        line.write(b);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Closes all connections, as when a process ends; continues to listen. */
  void closeConnections() {
    for (Socket s : open) {
      try {
        s.close();
      } catch (IOException e) {
        // It is closed already.
      }
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    try {
      // The port accepts connections until the thread that waits for one has ended.
      acceptor.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    closeConnections();
  }
}
