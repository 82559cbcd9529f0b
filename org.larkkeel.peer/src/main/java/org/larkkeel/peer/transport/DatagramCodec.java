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
 * The form of a datagram: the id of the key, the code, and a Thrift compact message.
 *
 * <p>Without keys the id is 0 and the code is absent. A repeated datagram does no harm, since
 * records only ever grow and an answer counts once. Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public final class DatagramCodec {
  /** The most bytes of a datagram, below the usual MTU. */
  public static final int MAX_BYTES = 1_400;

  private static final int PLAIN = 0;
  private static final int MAX_STRING = 256;
  private static final int MAX_ITEMS = 256;
  private static final int MAX_DEPTH = 8;

  private final List<DatagramKey> keys;

  /**
   * Creates a codec.
   *
   * @param keys the first one signs, all are accepted; empty for plain datagrams, as in tests
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
    int codeBytes = keys.isEmpty() ? 0 : DatagramKey.CODE_BYTES;
    byte[] datagram = new byte[1 + codeBytes + payload.length];
    if (datagram.length > MAX_BYTES) {
      throw new IllegalArgumentException(
          "the datagram has " + datagram.length + " bytes: send at most " + MAX_BYTES);
    }
    System.arraycopy(payload, 0, datagram, 1 + codeBytes, payload.length);
    if (!keys.isEmpty()) {
      DatagramKey key = keys.getFirst();
      datagram[0] = (byte) key.id();
      System.arraycopy(key.code(payload, 0, payload.length), 0, datagram, 1, codeBytes);
    }
    return datagram;
  }

  private static byte[] encodePayload(Message message) {
    try {
      TMemoryBuffer buffer = new TMemoryBuffer(MAX_BYTES);
      WireMessages.toWire(message).write(new TCompactProtocol(buffer));
      return Arrays.copyOf(buffer.getArray(), buffer.length());
    } catch (TException e) {
      throw new IllegalStateException("a message built here can be encoded", e);
    }
  }

  /**
   * Decodes a datagram.
   *
   * @param data holds the datagram
   * @param length the bytes of the datagram
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
      wire.read(new TCompactProtocol(input, MAX_STRING, MAX_ITEMS));
      return Optional.of(WireMessages.fromWire(wire));
    } catch (TException | RuntimeException e) {
      // Whatever a stranger sends must not stop the receiver.
      return Optional.empty();
    }
  }

  /** Where the payload starts, negative if the datagram is not authentic. */
  private int payloadStart(byte[] data, int length) {
    if (keys.isEmpty()) {
      return data[0] == PLAIN ? 1 : -1;
    }
    int start = 1 + DatagramKey.CODE_BYTES;
    if (length < start) {
      return -1;
    }
    byte[] code = Arrays.copyOfRange(data, 1, start);
    for (DatagramKey key : keys) {
      if (key.id() == data[0] && key.accepts(code, data, start, length - start)) {
        return start;
      }
    }
    return -1;
  }
}
