/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.BiConsumer;
import org.larkkeel.peer.gen.PeerService;
import org.larkkeel.peer.membership.Message;
import org.larkkeel.peer.membership.NodeAddress;
import org.larkkeel.peer.transport.DatagramCodec;
import org.larkkeel.peer.transport.DatagramTransport;
import org.larkkeel.peer.transport.PeerClient;
import org.larkkeel.peer.transport.PeerServer;

/**
 * The sockets of a node: a server and datagrams on one port, and a client for calls to peers.
 *
 * @param server answers the calls of peers
 * @param datagrams sends and receives datagrams
 * @param client calls peers
 */
record PeerSockets(PeerServer server, DatagramTransport datagrams, PeerClient client)
    implements AutoCloseable {
  private static final int BIND_ATTEMPTS = 32;

  /**
   * Binds TCP and UDP to the same port. With port 0, binding is repeated on another port if the
   * free TCP port is already in use for UDP.
   *
   * @param settings the settings of the node
   * @param handler answers the calls of peers
   * @param receiver receives the messages once the datagram transport is started
   * @return the open sockets
   * @throws IOException if the address can not be bound
   */
  static PeerSockets open(
      PeerSettings settings, PeerService.Iface handler, BiConsumer<NodeAddress, Message> receiver)
      throws IOException {
    int attempts = settings.listen().getPort() == 0 ? BIND_ATTEMPTS : 1;
    IOException failure = null;
    for (int i = 0; i < attempts; i++) {
      PeerServer tcp =
          PeerServer.open(
              settings.transport(),
              settings.listen(),
              settings.ssl(),
              settings.nameCheck(),
              handler);
      try {
        var address = new InetSocketAddress(settings.listen().getAddress(), tcp.port());
        DatagramCodec codec = new DatagramCodec(settings.keys());
        DatagramTransport udp = DatagramTransport.open(address, codec, receiver::accept);
        PeerClient client =
            new PeerClient(settings.transport(), settings.ssl(), settings.nameCheck());
        return new PeerSockets(tcp, udp, client);
      } catch (IOException e) {
        tcp.close();
        failure = e;
      }
    }
    throw new IOException("peer address " + settings.listen() + " can not be bound", failure);
  }

  /** Returns the address at which peers reach this node. */
  NodeAddress address(PeerSettings settings) {
    return NodeAddress.ofSocket(
        new InetSocketAddress(settings.listen().getAddress(), server.port()));
  }

  @Override
  public void close() {
    server.close();
    datagrams.close();
    client.close();
  }
}
