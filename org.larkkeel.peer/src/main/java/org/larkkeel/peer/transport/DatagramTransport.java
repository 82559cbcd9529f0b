/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.transport;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.larkkeel.peer.membership.Message;
import org.larkkeel.peer.membership.NodeAddress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends and receives the messages of the membership protocol as UDP datagrams.
 *
 * <p>Datagrams that are malformed or not authentic are counted and dropped. One platform thread
 * receives and calls the receiver. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class DatagramTransport implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(DatagramTransport.class);
  private static final int IP_AND_UDP_HEADER_BYTES = 28;

  private final DatagramSocket socket;
  private final DatagramCodec codec;
  private final Receiver receiver;
  private final AtomicLong bytesSent = new AtomicLong();
  private final AtomicLong bytesReceived = new AtomicLong();
  private final AtomicLong dropped = new AtomicLong();
  private final byte[] buffer = new byte[DatagramCodec.MAX_BYTES + 1];

  /** Is called with each message on the receiving thread; must not block for long. */
  @FunctionalInterface
  public interface Receiver {
    /**
     * Handles a message.
     *
     * @param source the address of the sender
     * @param message the message
     */
    void received(NodeAddress source, Message message);
  }

  private DatagramTransport(DatagramSocket socket, DatagramCodec codec, Receiver receiver) {
    this.socket = socket;
    this.codec = codec;
    this.receiver = receiver;
  }

  /**
   * Opens the socket. Nothing is received before {@link #start}.
   *
   * @param address the address to listen on
   * @param codec encodes and decodes the messages
   * @param receiver receives the messages
   * @return the transport
   * @throws IOException if the address can not be bound
   */
  public static DatagramTransport open(
      InetSocketAddress address, DatagramCodec codec, Receiver receiver) throws IOException {
    return new DatagramTransport(new DatagramSocket(address), codec, receiver);
  }

  /** Starts the receiving thread. */
  public void start() {
    Thread.ofPlatform().daemon().name("peer-datagrams").start(this::receive);
  }

  /**
   * Sends a message. A failure is logged and otherwise treated like a lost datagram.
   *
   * @param to the destination
   * @param message the message
   */
  public void send(NodeAddress to, Message message) {
    byte[] data = codec.encode(message);
    try {
      socket.send(new DatagramPacket(data, data.length, to.toSocketAddress()));
      bytesSent.addAndGet(data.length + IP_AND_UDP_HEADER_BYTES);
    } catch (IOException e) {
      LOG.debug("event=peer_datagram_not_sent peer={} error=\"{}\"", to, e.toString());
    }
  }

  private void receive() {
    while (!socket.isClosed()) {
      DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
      try {
        socket.receive(packet);
      } catch (IOException e) {
        if (!socket.isClosed()) {
          LOG.warn("event=peer_receive_failed error=\"{}\"", e.toString());
        }
        continue;
      }
      bytesReceived.addAndGet(packet.getLength() + IP_AND_UDP_HEADER_BYTES);
      deliver(packet);
    }
  }

  private void deliver(DatagramPacket packet) {
    Optional<Message> message = codec.decode(buffer, packet.getLength());
    if (message.isEmpty()) {
      dropped.incrementAndGet();
      return;
    }
    NodeAddress source = NodeAddress.ofSocket((InetSocketAddress) packet.getSocketAddress());
    receiver.received(source, message.get());
  }

  /**
   * Returns the number of bytes sent so far, including IP and UDP headers.
   *
   * @return bytes
   */
  public long bytesSent() {
    return bytesSent.get();
  }

  /**
   * Returns the number of bytes received so far, including IP and UDP headers.
   *
   * @return bytes
   */
  public long bytesReceived() {
    return bytesReceived.get();
  }

  /**
   * Returns the number of datagrams that were dropped because they were malformed or not authentic.
   *
   * @return a count
   */
  public long dropped() {
    return dropped.get();
  }

  @Override
  public void close() {
    socket.close();
  }
}
