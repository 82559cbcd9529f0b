/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.transport;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.transport.TIOStreamTransport;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;

/**
 * The framed Thrift compact protocol over a socket, with limits on the sizes of frames, strings and
 * containers.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class Frames {
  private static final int MAX_ITEMS = 8_192;
  private static final int MAX_DEPTH = 16;

  private Frames() {}

  static TProtocol protocol(Socket socket, int maxFrameBytes)
      throws IOException, TTransportException {
    TConfiguration bounds = new TConfiguration(maxFrameBytes, maxFrameBytes, MAX_DEPTH);
    var stream = new TIOStreamTransport(bounds, socket.getInputStream(), socket.getOutputStream());
    return new TCompactProtocol(
        new TFramedTransport(stream, maxFrameBytes), maxFrameBytes, MAX_ITEMS);
  }

  static void configure(Socket socket, long readTimeoutMillis) throws SocketException {
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(Math.toIntExact(readTimeoutMillis));
  }

  static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // The connection is abandoned in any case.
    }
  }
}
