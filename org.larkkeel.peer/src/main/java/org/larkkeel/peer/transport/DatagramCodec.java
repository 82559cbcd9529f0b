/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.transport;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.larkkeel.peer.gen.WireMessage;
import org.larkkeel.peer.membership.Message;

/**
 * Encodes and decodes datagrams: the id of the key, the message authentication code (MAC), and a
 * message in the Thrift compact protocol.
 *
 * <p>Without keys the id is 0 and the MAC is absent. Replayed datagrams are safe because records
 * only ever increase and an answer counts once. Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public final class DatagramCodec {
  /** The maximum size of a datagram, in bytes; below the usual MTU. */
  public static final int MAX_BYTES = 1_400;

  private static final int NO_KEY_ID = 0;
  private static final int MAX_STRING_BYTES = 256;
  private static final int MAX_ITEMS = 256;
  private static final int MAX_DEPTH = 8;

  private final List<DatagramKey> keys;

  /**
   * Creates a codec.
   *
   * @param keys the keys; the first one signs, datagrams with any of them are accepted; empty for
   *     unauthenticated datagrams, as in tests
   */
  public DatagramCodec(List<DatagramKey> keys) {
    this.keys = List.copyOf(keys);
  }

  /**
   * Encodes a message.
   *
   * @param message the message
   * @return the bytes of the datagram
   * @throws IllegalArgumentException if it is longer than {@link #MAX_BYTES}
   */
  public byte[] encode(Message message) {
    byte[] payload = encodePayload(message);
    int macBytes = keys.isEmpty() ? 0 : DatagramKey.MAC_BYTES;
    byte[] datagram = new byte[1 + macBytes + payload.length];
    if (datagram.length > MAX_BYTES) {
      throw new IllegalArgumentException(
          "the datagram has " + datagram.length + " bytes: send at most " + MAX_BYTES);
    }
    System.arraycopy(payload, 0, datagram, 1 + macBytes, payload.length);
    if (!keys.isEmpty()) {
      DatagramKey key = keys.getFirst();
      datagram[0] = (byte) key.id();
      System.arraycopy(key.mac(payload, 0, payload.length), 0, datagram, 1, macBytes);
    }
    return datagram;
  }

  private static byte[] encodePayload(Message message) {
    try {
      TMemoryBuffer buffer = new TMemoryBuffer(MAX_BYTES);
      WireMessages.toWire(message).write(new TCompactProtocol(buffer));
      return Arrays.copyOf(buffer.getArray(), buffer.length());
    } catch (TException e) {
      throw new IllegalStateException("a message created by this node could not be encoded", e);
    }
  }

  /**
   * Decodes a datagram.
   *
   * @param data an array that starts with the datagram
   * @param length the size of the datagram, in bytes
   * @return the message, empty if the datagram is malformed or not authentic
   */
  public Optional<Message> decode(byte[] data, int length) {
    if (length < 1 || length > MAX_BYTES) {
      return Optional.empty();
    }
    int start = payloadStart(data, length);
    if (start < 0) {
      return Optional.empty();
    }
    TConfiguration bounds = new TConfiguration(MAX_BYTES, MAX_BYTES, MAX_DEPTH);
    try {
      var input = new TMemoryInputTransport(bounds, data, start, length - start);
      WireMessage wire = new WireMessage();
      wire.read(new TCompactProtocol(input, MAX_STRING_BYTES, MAX_ITEMS));
      return Optional.of(WireMessages.fromWire(wire));
    } catch (TException | RuntimeException e) {
      // No datagram of an unknown sender may stop the receiving thread.
      return Optional.empty();
    }
  }

  /** Returns the offset of the payload, negative if the datagram is not authentic. */
  private int payloadStart(byte[] data, int length) {
    if (keys.isEmpty()) {
      return data[0] == NO_KEY_ID ? 1 : -1;
    }
    int start = 1 + DatagramKey.MAC_BYTES;
    if (length < start) {
      return -1;
    }
    byte[] mac = Arrays.copyOfRange(data, 1, start);
    for (DatagramKey key : keys) {
      if (key.id() == data[0] && key.isAuthentic(mac, data, start, length - start)) {
        return start;
      }
    }
    return -1;
  }
}
