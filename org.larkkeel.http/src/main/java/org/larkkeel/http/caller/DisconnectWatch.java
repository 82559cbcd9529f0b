/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.caller;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Notices that a caller has closed its connection while it waits for an answer.
 *
 * <p>Undertow does not read a connection between the end of a request and the end of its answer, so
 * a close would go unnoticed until something is written. The watch reads meanwhile; bytes of a next
 * request are put back, up to a bound, past which it stops reading. A caller that has closed only
 * its sending side counts as gone. Used on the connection's I/O thread.
 */
final class DisconnectWatch {
  private static final AttachmentKey<DisconnectWatch> KEY =
      AttachmentKey.create(DisconnectWatch.class);
  private static final int MAX_EARLY_BYTES = 16 * 1024;

  private final AbstractServerConnection connection;
  private Optional<Runnable> gone = Optional.empty();

  private DisconnectWatch(AbstractServerConnection connection) {
    this.connection = connection;
    connection.addCloseListener(c -> fire());
  }

  /** Watches until the exchange is complete. */
  static void start(HttpServerExchange exchange, Runnable gone) {
    if (!(exchange.getConnection() instanceof AbstractServerConnection connection)) {
      return;
    }
    DisconnectWatch watch = connection.getAttachment(KEY);
    if (watch == null) {
      watch = new DisconnectWatch(connection);
      connection.putAttachment(KEY, watch);
    }
    watch.begin(exchange, gone);
  }

  private void begin(HttpServerExchange exchange, Runnable action) {
    gone = Optional.of(action);
    exchange.addExchangeCompleteListener(
        (e, next) -> {
          gone = Optional.empty();
          next.proceed();
        });
    if (!connection.isOpen()) {
      fire();
      return;
    }
    ConduitStreamSourceChannel source = connection.getChannel().getSourceChannel();
    source.setReadListener(c -> readable());
    connection.getOriginalSourceConduit().resumeReads();
  }

  private void fire() {
    Optional<Runnable> action = gone;
    gone = Optional.empty();
    action.ifPresent(Runnable::run);
  }

  private void readable() {
    if (gone.isEmpty()) {
      return;
    }
    try (PooledByteBuffer pooled = connection.getByteBufferPool().allocate()) {
      ByteBuffer bytes = pooled.getBuffer();
      int n = connection.getOriginalSourceConduit().read(bytes);
      if (n < 0) {
        stop();
        fire();
      } else if (n > 0) {
        keep(bytes.flip());
      }
    } catch (IOException e) {
      stop();
      fire();
    }
  }

  private void stop() {
    connection.getOriginalSourceConduit().suspendReads();
  }

  private void keep(ByteBuffer bytes) {
    PooledByteBuffer before = connection.getExtraBytes();
    int size = bytes.remaining() + (before == null ? 0 : before.getBuffer().remaining());
    ByteBuffer all = ByteBuffer.allocate(size);
    if (before != null) {
      all.put(before.getBuffer());
      before.close();
    }
    all.put(bytes).flip();
    connection.setExtraBytes(new HeapBytes(all));
    if (size >= MAX_EARLY_BYTES) {
      stop();
    }
  }

  /** Bytes outside the pool. */
  private static final class HeapBytes implements PooledByteBuffer {
    private final ByteBuffer bytes;
    private boolean open = true;

    HeapBytes(ByteBuffer bytes) {
      this.bytes = bytes;
    }

    @Override
    public ByteBuffer getBuffer() {
      return bytes;
    }

    @Override
    public void close() {
      open = false;
    }

    @Override
    public boolean isOpen() {
      return open;
    }
  }
}
