/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import java.util.Arrays;
import java.util.Optional;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;

/**
 * Writes and reads the bytes of a message extension in Thrift's compact protocol.
 *
 * <p>Stateless and thread-safe.
 */
final class ExtensionBytes {
  private static final int INITIAL_BYTES = 32;

  /** Writes the content of an extension. */
  interface Writer {
    void write(TCompactProtocol out) throws TException;
  }

  /** Reads the content of an extension. */
  interface Reader<T> {
    T read(TCompactProtocol in) throws TException;
  }

  private ExtensionBytes() {}

  static byte[] write(Writer writer) {
    try {
      TMemoryBuffer buffer = new TMemoryBuffer(INITIAL_BYTES);
      writer.write(new TCompactProtocol(buffer));
      return Arrays.copyOf(buffer.getArray(), buffer.length());
    } catch (TException e) {
      throw new IllegalStateException("writing an extension to memory failed", e);
    }
  }

  /**
   * Reads the content of an extension; empty if the message does not have it or its bytes are
   * malformed, which is counted.
   */
  static <T> Optional<T> read(PeerMessage message, ExtensionId id, Reader<T> reader) {
    Optional<byte[]> bytes = message.extensions().get(id);
    if (bytes.isEmpty()) {
      return Optional.empty();
    }
    try {
      T content = reader.read(new TCompactProtocol(new TMemoryInputTransport(bytes.get())));
      ExtensionCounts.PROCESS.read(id);
      return Optional.of(content);
    } catch (TException | IllegalArgumentException | IndexOutOfBoundsException e) {
      MessageExtensions.reportMalformed(id, e);
      return Optional.empty();
    }
  }
}
