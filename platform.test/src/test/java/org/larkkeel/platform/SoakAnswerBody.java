/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;

/**
 * The body of an answer of a runner, written piece by piece: in chunks, or with nothing that marks
 * its end but the end of its connection.
 *
 * <p>Used by one thread, except that a connection may be closed by others.
 */
sealed interface SoakAnswerBody {
  /** Returns the header lines that say how the body ends. */
  String headers();

  /** Writes a piece of the body. */
  void write(String piece) throws IOException;

  /** Ends the body in order. */
  void end() throws IOException;

  /** Breaks off within a piece. */
  void breakOff(String piece) throws IOException;

  /** A body in chunks; its connection stays open. */
  record Chunked(OutputStream out) implements SoakAnswerBody {
    @Override
    public String headers() {
      return "Transfer-Encoding: chunked\r\n";
    }

    @Override
    public void write(String piece) throws IOException {
      RawServer.write(out, Integer.toHexString(piece.length()) + "\r\n" + piece + "\r\n");
    }

    @Override
    public void end() throws IOException {
      RawServer.write(out, "0\r\n\r\n");
    }

    @Override
    public void breakOff(String piece) throws IOException {
      RawServer.write(out, Integer.toHexString(piece.length()) + "\r\n" + piece.substring(0, 4));
    }
  }

  /** A body that ends with its connection. */
  record UntilClose(Socket socket) implements SoakAnswerBody {
    @Override
    public String headers() {
      return "";
    }

    @Override
    public void write(String piece) throws IOException {
      RawServer.write(socket.getOutputStream(), piece);
    }

    @Override
    public void end() throws IOException {
      socket.close();
    }

    /** Resets the connection, as a close in order would end the body. */
    @Override
    public void breakOff(String piece) throws IOException {
      write(piece.substring(0, 4));
      reset();
    }

    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }
}
