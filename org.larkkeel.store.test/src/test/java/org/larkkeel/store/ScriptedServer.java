/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A server that answers each request with the next answer of a script, unmodified. */
final class ScriptedServer implements AutoCloseable {
  /** A script entry that closes the connection without an answer. */
  static final String HANG_UP = "hang up";

  /** A script entry that leaves the request unanswered. */
  static final String SILENCE = "silence";

  /**
   * A script entry that leaves the request unanswered and records whether the client resets the
   * connection.
   */
  static final String LISTEN = "listen";

  private final ServerSocket socket;
  private final BlockingQueue<String> script = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
  private final BlockingQueue<Boolean> resets = new LinkedBlockingQueue<>();
  private final AtomicInteger connections = new AtomicInteger();

  ScriptedServer() throws IOException {
    socket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    Thread.ofVirtual().start(this::accept);
  }

  URI uri() {
    return URI.create("http://127.0.0.1:" + socket.getLocalPort());
  }

  ScriptedServer then(String... answers) {
    script.addAll(List.of(answers));
    return this;
  }

  static String answer(int status, String headers, String body) {
    return "HTTP/1.1 "
        + status
        + " X\r\n"
        + headers
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  String nextRequest() throws InterruptedException {
    return requests.take();
  }

  /** Returns the number of connections that were opened. */
  int connections() {
    return connections.get();
  }

  /** Returns whether the client resets the next {@link #LISTEN} connection within 3 s. */
  boolean isResetSoon() throws InterruptedException {
    return Boolean.TRUE.equals(resets.poll(3, TimeUnit.SECONDS));
  }

  private static boolean isReset(InputStream in) throws IOException {
    try {
      in.read();
      return false;
    } catch (SocketException e) {
      return true;
    }
  }

  private void accept() {
    while (!socket.isClosed()) {
      try {
        Socket s = socket.accept();
        connections.incrementAndGet();
        Thread.ofVirtual().start(() -> serve(s));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket s) {
    try (s) {
      InputStream in = new BufferedInputStream(s.getInputStream());
      while (true) {
        requests.add(read(in));
        String answer = script.take();
        if (answer.equals(HANG_UP)) {
          return;
        }
        if (answer.equals(LISTEN)) {
          resets.add(isReset(in));
          return;
        }
        if (!answer.equals(SILENCE)) {
          s.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
          s.getOutputStream().flush();
        }
        if (answer.contains("Cut: yes")) {
          return;
        }
      }
    } catch (IOException | InterruptedException e) {
      // The client closed the connection, or the test has ended.
    }
  }

  private static String read(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (!head.toString().endsWith("\r\n\r\n")) {
      int b = in.read();
      if (b < 0) {
        throw new IOException("end");
      }
      head.append((char) b);
    }
    int length = 0;
    for (String line : head.toString().toLowerCase(Locale.ROOT).split("\r\n")) {
      if (line.startsWith("content-length:")) {
        length = Integer.parseInt(line.substring(15).trim());
      }
    }
    return head + new String(in.readNBytes(length), StandardCharsets.UTF_8);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
