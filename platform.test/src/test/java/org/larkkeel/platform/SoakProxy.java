/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.xnio.IoUtils;

/**
 * A TCP proxy to an address on 127.0.0.1 that disturbs its connections on request.
 *
 * <p>Safe for use by several threads.
 */
final class SoakProxy implements AutoCloseable {
  private static final int CONNECT_MILLIS = 1_000;

  /** The treatment of forwarded bytes. */
  enum Mode {
    PASS,
    /** Each chunk read is delayed. */
    DELAY,
    /** Requests pass; answers are held back until the mode changes. No byte is lost. */
    ONE_WAY,
    /** No byte passes in either direction, and no connection is closed. */
    SILENT,
    /** All connections are reset, including new ones. */
    RESET
  }

  private static final long DELAY_MILLIS = 120;
  private static final int BACKLOG = 200;
  private static final int QUEUE_FILLERS = 4;

  private volatile ServerSocket listener;
  private final InetSocketAddress target;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final List<SocketChannel> fillers = new CopyOnWriteArrayList<>();
  private final AtomicInteger stalls = new AtomicInteger();
  private volatile Mode mode = Mode.PASS;

  SoakProxy(InetSocketAddress target) {
    this.target = target;
    listen(0);
  }

  private void listen(int port) {
    try {
      listener = new ServerSocket(port, BACKLOG, InetAddress.getByName("127.0.0.1"));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    ServerSocket accepting = listener;
    Thread.ofVirtual().start(() -> accept(accepting));
  }

  /** Resets all connections and refuses new ones, as when the process behind it has ended. */
  void down() {
    IoUtils.safeClose(listener);
    open.forEach(SoakProxy::reset);
  }

  /** Refuses new connections; open ones stay. */
  void refuseNew() {
    IoUtils.safeClose(listener);
  }

  /** Forwards nothing, and lets new connections hang, as when packets are dropped. */
  void hang() {
    setMode(Mode.SILENT);
    int port = listener.getLocalPort();
    IoUtils.safeClose(listener);
    try {
      listener = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"));
      // Further connections do not open while the queue of those not accepted is full.
      for (int i = 0; i < QUEUE_FILLERS; i++) {
        fillers.add(SocketChannel.open());
        fillers.getLast().configureBlocking(false);
        fillers.getLast().connect(listener.getLocalSocketAddress());
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Listens again at the same port. */
  void up() {
    fillers.forEach(IoUtils::safeClose);
    fillers.clear();
    IoUtils.safeClose(listener);
    listen(listener.getLocalPort());
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  void setMode(Mode next) {
    mode = next;
    if (next == Mode.RESET) {
      open.forEach(SoakProxy::reset);
    }
  }

  /** Stops forwarding on all open connections for good, without closing them. New ones work. */
  void stall() {
    stalls.incrementAndGet();
  }

  private void accept(ServerSocket accepting) {
    while (!accepting.isClosed()) {
      try {
        Socket client = accepting.accept();
        Thread.ofVirtual().start(() -> serve(client));
      } catch (IOException e) {
        // The listener is closed, or the client closed its connection at once.
      }
    }
  }

  private void serve(Socket client) {
    if (mode == Mode.RESET) {
      reset(client);
      return;
    }
    int stallsAtAccept = stalls.get();
    Socket upstream = new Socket();
    open.add(client);
    open.add(upstream);
    try (client;
        upstream) {
      upstream.connect(target, CONNECT_MILLIS);
      Thread answerPump =
          Thread.ofVirtual().start(() -> forward(upstream, client, true, stallsAtAccept));
      forward(client, upstream, false, stallsAtAccept);
      answerPump.join();
    } catch (IOException | InterruptedException e) {
      reset(client);
    } finally {
      open.remove(client);
      open.remove(upstream);
    }
  }

  private void forward(Socket from, Socket to, boolean answers, int stallsAtAccept) {
    byte[] buffer = new byte[8_192];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        awaitForwarding(answers, stallsAtAccept);
        out.write(buffer, 0, n);
        out.flush();
      }
      to.shutdownOutput();
    } catch (IOException | InterruptedException e) {
      reset(from);
      reset(to);
    }
  }

  private void awaitForwarding(boolean answers, int stallsAtAccept) throws InterruptedException {
    if (mode == Mode.DELAY) {
      Thread.sleep(DELAY_MILLIS);
    }
    while (mode == Mode.SILENT || (mode == Mode.ONE_WAY && answers)) {
      Thread.sleep(10);
    }
    while (stallsAtAccept < stalls.get() && !listener.isClosed()) {
      Thread.sleep(100);
    }
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    open.forEach(SoakProxy::reset);
  }
}
