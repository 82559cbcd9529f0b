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
 * Detects that a caller has closed its connection while its request is in progress.
 *
 * <p>Undertow does not read a connection between the end of a request and the end of its answer, so
 * a close would go unnoticed until something is written. The watch reads the connection during that
 * time. Bytes of a pipelined request are put back for Undertow; from {@code MAX_EARLY_BYTES} on,
 * the watch stops reading. A caller that has closed only its sending side also counts as gone.
 * Confined to the I/O thread of the connection.
 */
final class DisconnectWatch {
  private static final AttachmentKey<DisconnectWatch> KEY =
      AttachmentKey.create(DisconnectWatch.class);
  private static final int MAX_EARLY_BYTES = 16 * 1024;

  private final AbstractServerConnection connection;
  private Optional<Runnable> onDisconnect = Optional.empty();

  private DisconnectWatch(AbstractServerConnection connection) {
    this.connection = connection;
    connection.addCloseListener(c -> runOnDisconnect());
  }

  /**
   * Watches the connection of an exchange until the exchange is complete.
   *
   * @param onDisconnect run at most once, when the connection is closed
   */
  static void start(HttpServerExchange exchange, Runnable onDisconnect) {
    if (!(exchange.getConnection() instanceof AbstractServerConnection connection)) {
      return;
    }
    DisconnectWatch watch = connection.getAttachment(KEY);
    if (watch == null) {
      watch = new DisconnectWatch(connection);
      connection.putAttachment(KEY, watch);
    }
    watch.watch(exchange, onDisconnect);
  }

  private void watch(HttpServerExchange exchange, Runnable action) {
    onDisconnect = Optional.of(action);
    exchange.addExchangeCompleteListener(
        (e, next) -> {
          onDisconnect = Optional.empty();
          next.proceed();
        });
    if (!connection.isOpen()) {
      runOnDisconnect();
      return;
    }
    ConduitStreamSourceChannel source = connection.getChannel().getSourceChannel();
    source.setReadListener(c -> onReadable());
    connection.getOriginalSourceConduit().resumeReads();
  }

  private void runOnDisconnect() {
    Optional<Runnable> action = onDisconnect;
    onDisconnect = Optional.empty();
    action.ifPresent(Runnable::run);
  }

  private void onReadable() {
    if (onDisconnect.isEmpty()) {
      return;
    }
    try (PooledByteBuffer pooled = connection.getByteBufferPool().allocate()) {
      ByteBuffer bytes = pooled.getBuffer();
      int n = connection.getOriginalSourceConduit().read(bytes);
      if (n < 0) {
        stopReading();
        runOnDisconnect();
      } else if (n > 0) {
        putBack(bytes.flip());
      }
    } catch (IOException e) {
      stopReading();
      runOnDisconnect();
    }
  }

  private void stopReading() {
    connection.getOriginalSourceConduit().suspendReads();
  }

  private void putBack(ByteBuffer bytes) {
    PooledByteBuffer earlier = connection.getExtraBytes();
    int size = bytes.remaining() + (earlier == null ? 0 : earlier.getBuffer().remaining());
    ByteBuffer all = ByteBuffer.allocate(size);
    if (earlier != null) {
      all.put(earlier.getBuffer());
      earlier.close();
    }
    all.put(bytes).flip();
    connection.setExtraBytes(new HeapBytes(all));
    if (size >= MAX_EARLY_BYTES) {
      stopReading();
    }
  }

  /** A buffer that is not from the pool; closing it frees nothing. */
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
