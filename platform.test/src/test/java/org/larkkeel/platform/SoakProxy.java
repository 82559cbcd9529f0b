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
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.xnio.IoUtils;

/**
 * A TCP proxy that disturbs its connections on request.
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
    RESET,
    /**
     * Nothing is read, as by a process that is stopped. All bytes pass later, also those of
     * connections that are closed by then.
     */
    FROZEN
  }

  private static final long DELAY_MILLIS = 120;
  private static final int BACKLOG = 200;
  private static final int QUEUE_FILLERS = 4;
  private static final int NOTHING_DUE = -2;
  private static final long BIND_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long BIND_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  private volatile ServerSocket listener;
  private volatile Thread acceptor;
  private final String host;
  private final InetSocketAddress target;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final List<SocketChannel> fillers = new CopyOnWriteArrayList<>();
  private final AtomicInteger stalls = new AtomicInteger();
  private volatile Mode mode = Mode.PASS;

  /**
   * Starts a proxy.
   *
   * @param host the loopback address to listen on; another process must not listen there, as the
   *     port is free while the proxy is down
   * @param target the address to forward to
   */
  SoakProxy(String host, InetSocketAddress target) {
    this.host = host;
    this.target = target;
    listen(0);
  }

  private void listen(int port) {
    bind(port, BACKLOG);
    ServerSocket accepting = listener;
    acceptor = Thread.ofVirtual().start(() -> accept(accepting));
  }

  /** Binds the listener; a port is still in use for a moment after its listener was closed. */
  private void bind(int port, int backlog) {
    long end = System.nanoTime() + BIND_NANOS;
    while (true) {
      try {
        listener = new ServerSocket(port, backlog, InetAddress.ofLiteral(host));
        return;
      } catch (BindException e) {
        if (System.nanoTime() > end) {
          throw new UncheckedIOException(e);
        }
        LockSupport.parkNanos(BIND_PAUSE_NANOS);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  /** Resets all connections and refuses new ones, as when the process behind it has ended. */
  void down() {
    IoUtils.safeClose(listener);
    open.forEach(SoakProxy::reset);
  }

  /** Refuses new connections from now on; open ones stay. */
  void refuseNew() {
    IoUtils.safeClose(listener);
    try {
      // The port accepts connections until the thread that waits for one has ended.
      acceptor.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Forwards nothing, and lets new connections hang, as when packets are dropped. */
  void hang() {
    setMode(Mode.SILENT);
    int port = listener.getLocalPort();
    IoUtils.safeClose(listener);
    bind(port, 1);
    try {
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
    return host + ":" + listener.getLocalPort();
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
        boolean held = awaitForwarding(answers, stallsAtAccept);
        int next = held ? readNext(from) : NOTHING_DUE;
        if (next < 0 && next != NOTHING_DUE) {
          // As in a network: what a partition has held up is lost once its sender has reset.
          throw new IOException("the sender has left");
        }
        out.write(buffer, 0, n);
        if (next >= 0) {
          out.write(next);
        }
        out.flush();
      }
      // The end of an answer comes after its bytes, and no sooner than they would.
      if (answers && awaitForwarding(true, stallsAtAccept)) {
        throw new IOException("the sender has left");
      }
      to.shutdownOutput();
    } catch (IOException | InterruptedException e) {
      reset(from);
      reset(to);
    }
  }

  /** Waits while nothing is forwarded; returns whether a partition held bytes up. */
  private boolean awaitForwarding(boolean answers, int stallsAtAccept) throws InterruptedException {
    if (mode == Mode.DELAY) {
      Thread.sleep(DELAY_MILLIS);
    }
    boolean held = mode == Mode.SILENT;
    while (mode == Mode.SILENT || mode == Mode.FROZEN || (mode == Mode.ONE_WAY && answers)) {
      Thread.sleep(10);
    }
    while (stallsAtAccept < stalls.get() && !listener.isClosed()) {
      Thread.sleep(100);
    }
    return held;
  }

  /**
   * Returns the next byte of a connection, -1 if its other side has closed or reset it, or {@link
   * #NOTHING_DUE}.
   */
  private static int readNext(Socket socket) throws IOException {
    socket.setSoTimeout(1);
    try {
      return socket.getInputStream().read();
    } catch (SocketTimeoutException e) {
      return NOTHING_DUE;
    } catch (SocketException e) {
      return -1;
    } finally {
      socket.setSoTimeout(0);
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
