/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.tunnel;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.xnio.IoUtils;

/**
 * Forwards the connections of a node to a peer until it is killed.
 *
 * <p>Stands for the process of the peer: when a process is killed, the system closes its
 * connections in order unless it left bytes unread. Safe for use by several threads.
 */
final class CarrierProxy implements AutoCloseable {
  private final ServerSocket listener;
  private final InetAddress self;
  private final InetSocketAddress peer;
  private final ConcurrentLinkedQueue<Socket> sockets = new ConcurrentLinkedQueue<>();

  /**
   * Starts to forward.
   *
   * @param self the address from which the node asks the peer
   * @param peer the peer
   */
  CarrierProxy(InetAddress self, InetSocketAddress peer) throws IOException {
    this.self = self;
    this.peer = peer;
    this.listener = new ServerSocket(0, 64, InetAddress.ofLiteral("127.0.0.1"));
    Thread.ofVirtual().start(this::accept);
  }

  /** Returns the address at which the node finds the peer. */
  InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  /** Closes all connections in order, and accepts no more. */
  void kill() {
    IoUtils.safeClose(listener);
    sockets.forEach(IoUtils::safeClose);
  }

  @Override
  public void close() {
    kill();
  }

  private void accept() {
    try {
      while (true) {
        Socket node = listener.accept();
        Socket carrier = new Socket(peer.getAddress(), peer.getPort(), self, 0);
        sockets.add(node);
        sockets.add(carrier);
        Thread.ofVirtual().start(() -> copy(node, carrier));
        Thread.ofVirtual().start(() -> copy(carrier, node));
      }
    } catch (IOException e) {
      // The listener was closed.
    }
  }

  /** Copies until one end closes, and passes a regular end or a reset on. */
  private static void copy(Socket from, Socket to) {
    byte[] buffer = new byte[16 << 10];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        out.write(buffer, 0, n);
      }
      to.shutdownOutput();
    } catch (IOException e) {
      reset(to);
    }
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
    } catch (IOException e) {
      // The socket is closed already.
    }
    IoUtils.safeClose(socket);
  }
}
