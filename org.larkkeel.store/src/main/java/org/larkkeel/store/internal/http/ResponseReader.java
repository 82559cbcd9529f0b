/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.internal.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSourceChannel;

/** Reads a response body without blocking. Confined to one I/O thread. */
final class ResponseReader implements ChannelListener<StreamSourceChannel> {
  private static final int BUFFER_BYTES = 16 << 10;

  private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
  private final Sink sink;

  ResponseReader(Sink sink) {
    this.sink = sink;
  }

  void start(StreamSourceChannel channel) {
    handleEvent(channel);
  }

  @Override
  public void handleEvent(StreamSourceChannel channel) {
    try {
      while (true) {
        buffer.clear();
        int n = channel.read(buffer);
        if (n < 0) {
          sink.end();
          return;
        }
        if (n == 0) {
          channel.getReadSetter().set(this);
          channel.resumeReads();
          return;
        }
        buffer.flip();
        sink.bytes(buffer);
      }
    } catch (IOException e) {
      sink.failed(e);
    }
  }

  /** Receives a response body. */
  interface Sink {
    /** Receives the next bytes of the body. The buffer is valid only during this call. */
    void bytes(ByteBuffer part) throws IOException;

    /** The body is complete. */
    void end();

    /** The connection failed, or {@link #bytes} threw an exception. */
    void failed(IOException cause);
  }
}
