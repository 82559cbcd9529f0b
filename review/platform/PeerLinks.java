/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The links between one node and all others, which can be cut. Each side knows the other by an
 * address of this proxy, on the port of the nodes' own protocol: datagrams and connections.
 */
final class PeerLinks {
  private final int port;
  private final InetAddress one;
  private final InetAddress oneSeen;
  private final Map<InetAddress, InetAddress> seenOf = new ConcurrentHashMap<>();
  private final Map<InetAddress, DatagramSocket> sockets = new ConcurrentHashMap<>();
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile boolean cut;

  /**
   * Creates the links.
   *
   * @param one the address of the one node
   * @param oneSeen the address by which the others know it
   * @param others the addresses of the others, with those by which the one knows them
   */
  PeerLinks(InetAddress one, InetAddress oneSeen, Map<InetAddress, InetAddress> others, int port)
      throws IOException {
    this.one = one;
    this.oneSeen = oneSeen;
    this.port = port;
    seenOf.putAll(others);
    listen(oneSeen);
    for (InetAddress seen : others.values()) {
      listen(seen);
    }
  }

  /** Drops all datagrams and bytes from now on, and answers no new connection, or ends that. */
  void cut(boolean on) {
    cut = on;
  }

  private void listen(InetAddress seen) throws IOException {
    DatagramSocket datagrams = new DatagramSocket(new InetSocketAddress(seen, port));
    sockets.put(seen, datagrams);
    Thread.ofPlatform().daemon().start(() -> forward(seen, datagrams));
    ServerSocket server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(seen, port), 256);
    Thread.startVirtualThread(() -> accept(seen, server));
  }

  /** Returns the node behind an address of the proxy. */
  private InetAddress behind(InetAddress seen) {
    if (seen.equals(oneSeen)) {
      return one;
    }
    return seenOf.entrySet().stream()
        .filter(e -> e.getValue().equals(seen))
        .map(Map.Entry::getKey)
        .findFirst()
        .orElseThrow();
  }

  private void forward(InetAddress seen, DatagramSocket in) {
    byte[] buffer = new byte[65_536];
    while (true) {
      try {
        DatagramPacket p = new DatagramPacket(buffer, buffer.length);
        in.receive(p);
        InetAddress from = p.getAddress().equals(one) ? oneSeen : seenOf.get(p.getAddress());
        if (!cut && from != null) {
          sockets
              .get(from)
              .send(
                  new DatagramPacket(
                      buffer, p.getLength(), new InetSocketAddress(behind(seen), port)));
        }
      } catch (IOException e) {
        // The receiver does not listen.
      }
    }
  }

  private void accept(InetAddress seen, ServerSocket server) {
    while (true) {
      try {
        Socket in = server.accept();
        open.add(in);
        if (cut) {
          continue;
        }
        Socket out = new Socket();
        out.connect(new InetSocketAddress(behind(seen), port), 1_000);
        Thread.startVirtualThread(() -> copy(in, out));
        Thread.startVirtualThread(() -> copy(out, in));
      } catch (IOException e) {
        // The node does not listen.
      }
    }
  }

  private void copy(Socket from, Socket to) {
    byte[] buffer = new byte[16_384];
    try (from;
        to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        while (cut) {
          Thread.sleep(20);
        }
        out.write(buffer, 0, n);
      }
    } catch (IOException | InterruptedException e) {
      // The connection has ended.
    }
  }
}
