/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A server whose bytes a script of the test controls. Safe for use by several threads. */
public final class ScriptedServer implements AutoCloseable {
  private final ServerSocket listener;
  private final Script script;
  private final ConcurrentLinkedQueue<Socket> sockets = new ConcurrentLinkedQueue<>();
  private final BlockingQueue<Request> requests = new LinkedBlockingQueue<>();

  /** Answers requests. */
  @FunctionalInterface
  public interface Script {
    /** Answers one request; may close the socket to end the connection. */
    void serve(Request request, Reply reply) throws Exception;
  }

  /** A request as received, with header names in lower case. */
  public record Request(String method, String target, Map<String, String> headers, String body) {
    /** Returns a header by its name in lower case; null if missing. */
    public String header(String name) {
      return headers.get(name);
    }
  }

  /** Writes the answer to one request. */
  public record Reply(Socket socket) {
    /** Writes text unchanged. */
    public Reply raw(String text) throws IOException {
      OutputStream out = socket.getOutputStream();
      out.write(text.getBytes(StandardCharsets.UTF_8));
      out.flush();
      return this;
    }

    /** Writes a complete answer. */
    public Reply answer(int status, String body) throws IOException {
      int length = body.getBytes(StandardCharsets.UTF_8).length;
      return raw("HTTP/1.1 " + status + " X\r\nContent-Length: " + length + "\r\n\r\n" + body);
    }

    /** Starts an event stream in chunks. */
    public Reply startEvents() throws IOException {
      return raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    /** Writes one chunk. */
    public Reply chunk(String text) throws IOException {
      int length = text.getBytes(StandardCharsets.UTF_8).length;
      return raw(Integer.toHexString(length) + "\r\n" + text + "\r\n");
    }

    /** Writes the stream event of a token. */
    public Reply token(int index, String text) throws IOException {
      return chunk(
          "data: {\"id\":\"x\",\"choices\":[{\"index\":0,\"text\":\""
              + text
              + "\",\"token_index\":"
              + index
              + ",\"finish_reason\":null}]}\n\n");
    }

    /** Ends an event stream as engines do. */
    public Reply done() throws IOException {
      return chunk("data: [DONE]\n\n").raw("0\r\n\r\n");
    }
  }

  /** Starts the server on a free port. */
  public ScriptedServer(Script script) throws IOException {
    this.script = script;
    this.listener = new ServerSocket(0, 64, InetAddress.ofLiteral("127.0.0.1"));
    Thread.ofVirtual().start(this::accept);
  }

  /** Returns the address of the server. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  /** Waits for the next request. */
  public Request next() throws InterruptedException {
    Request request = requests.poll(Node.TIMEOUT_SECONDS, TimeUnit.SECONDS);
    if (request == null) {
      throw new AssertionError("the server received no request");
    }
    return request;
  }

  /** Returns the number of requests that were received and not taken by {@link #next}. */
  public int pendingRequests() {
    return requests.size();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      }
    } catch (IOException e) {
      // The listener was closed.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Request request = read(in);
      while (request != null && !socket.isClosed()) {
        requests.add(request);
        script.serve(request, new Reply(socket));
        request = socket.isClosed() ? null : read(in);
      }
    } catch (Exception e) {
      // The peer has disconnected, which tests do on purpose.
    }
  }

  /** Reads one request; returns null at the end of the stream. */
  static Request read(InputStream in) throws IOException {
    String first = line(in);
    if (first == null) {
      return null;
    }
    String[] parts = first.split(" ", 3);
    Map<String, String> headers = new TreeMap<>();
    for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
    return new Request(parts[0], parts[1], headers, body);
  }

  /** Reads one line without its end; returns null at the end of the stream. */
  static String line(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        return null;
      }
      if (c != '\r') {
        line.append((char) c);
      }
    }
    return line.toString();
  }
}
