/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.tunnel;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.larkkeel.http.InputLimit;
import org.larkkeel.relay.ProbeResult;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Copies the bytes of two connections to each other until both directions have ended.
 *
 * <p>Invariants: each direction buffers at most one buffer, which is allocated only while bytes are
 * pending; a reset of one connection resets the other, so that no answer that breaks off looks
 * complete. The end of the upstream's bytes is passed on once the upstream was found to listen, and
 * is a reset if it refuses connections, as its process has ended then. As a killed process can not
 * reset its connections, a caller that reads {@linkplain TunnelFrames frames} gets the upstream's
 * bytes in frames, with a mark at their end; for any other caller the system is told to reset the
 * connection unless the copy has ended in order. Confined to the I/O thread.
 */
final class Splice {
  private final StreamConnection caller;
  private final StreamConnection upstream;
  private final boolean framed;
  private final Consumer<Consumer<ProbeResult>> endProbe;
  private final ByteBufferPool buffers;
  private final Runnable onEnd;
  private int openDirections = 2;
  private boolean ended;
  private boolean awaitsUpstream;
  private boolean hasMoved;

  /**
   * Creates a copy that is not started.
   *
   * @param framed whether the caller reads frames
   * @param endProbe probes whether the upstream listens after it has closed its connection
   * @param onEnd runs once both connections were closed
   */
  Splice(
      StreamConnection caller,
      StreamConnection upstream,
      boolean framed,
      Consumer<Consumer<ProbeResult>> endProbe,
      ByteBufferPool buffers,
      Runnable onEnd) {
    this.caller = caller;
    this.upstream = upstream;
    this.framed = framed;
    this.endProbe = endProbe;
    this.buffers = buffers;
    this.onEnd = onEnd;
  }

  void start() {
    caller.getCloseSetter().set(c -> abort());
    upstream.getCloseSetter().set(c -> abort());
    if (!framed) {
      setResetOnClose(caller, true);
    }
    new Direction(caller.getSourceChannel(), upstream.getSinkChannel(), true).start();
    if (!ended) {
      new Direction(upstream.getSourceChannel(), caller.getSinkChannel(), false).start();
    }
  }

  /** Returns whether the last bytes were those of a request, so that an answer is due. */
  boolean awaitsUpstream() {
    return awaitsUpstream;
  }

  /** Returns whether bytes were copied since the last call. */
  boolean takeMoved() {
    boolean moved = hasMoved;
    hasMoved = false;
    return moved;
  }

  /** Resets both connections. */
  void abort() {
    if (ended) {
      return;
    }
    ended = true;
    reset(caller);
    reset(upstream);
    onEnd.run();
  }

  private static void reset(StreamConnection connection) {
    setResetOnClose(connection, true);
    IoUtils.safeClose(connection);
  }

  private static void setResetOnClose(StreamConnection connection, boolean reset) {
    try {
      connection.setOption(Options.CLOSE_ABORT, reset);
    } catch (IOException | IllegalArgumentException e) {
      // The connection is closed already.
    }
  }

  private void directionEnded() {
    openDirections--;
    if (openDirections == 0 && !ended) {
      ended = true;
      IoUtils.safeClose(caller, upstream);
      onEnd.run();
    }
  }

  /** One direction of the copy. */
  private final class Direction {
    private final StreamSourceChannel source;
    private final StreamSinkChannel sink;
    private final boolean toUpstream;
    private final boolean inFrames;
    private PooledByteBuffer pending;
    private boolean sourceEnded;
    private boolean endConfirmed;

    Direction(StreamSourceChannel source, StreamSinkChannel sink, boolean toUpstream) {
      this.source = source;
      this.sink = sink;
      this.toUpstream = toUpstream;
      this.inFrames = framed && !toUpstream;
    }

    void start() {
      source.getReadSetter().set(c -> copy());
      sink.getWriteSetter().set(c -> copy());
      copy();
    }

    private void copy() {
      int copied = 0;
      try {
        while (!ended && flushPending()) {
          if (sourceEnded) {
            if (endConfirmed) {
              finish();
            }
            return;
          }
          if (copied >= InputLimit.TURN_BYTES) {
            // Other connections come first; the channel is still readable in the next turn.
            source.resumeReads();
            return;
          }
          if (!fill()) {
            return;
          }
          copied += pending == null ? 0 : pending.getBuffer().remaining();
        }
      } catch (IOException e) {
        release();
        abort();
      }
      if (ended) {
        release();
      }
    }

    /** Writes what is pending; returns false if the sink does not take all of it now. */
    private boolean flushPending() throws IOException {
      if (pending == null) {
        return true;
      }
      ByteBuffer bytes = pending.getBuffer();
      while (bytes.hasRemaining()) {
        if (sink.write(bytes) == 0) {
          source.suspendReads();
          sink.resumeWrites();
          return false;
        }
      }
      release();
      sink.suspendWrites();
      return true;
    }

    /** Reads into the buffer; returns false if there is nothing to read now. */
    private boolean fill() throws IOException {
      PooledByteBuffer buffer = buffers.allocate();
      if (inFrames) {
        TunnelFrames.begin(buffer.getBuffer());
      }
      int n;
      try {
        n = source.read(buffer.getBuffer());
      } catch (IOException e) {
        buffer.close();
        throw e;
      }
      if (n > 0) {
        if (inFrames) {
          TunnelFrames.complete(buffer.getBuffer());
        } else {
          buffer.getBuffer().flip();
        }
        pending = buffer;
        hasMoved = true;
        awaitsUpstream = toUpstream;
        return true;
      }
      buffer.close();
      if (n < 0) {
        endOfSource();
        return true;
      }
      source.resumeReads();
      return false;
    }

    private void endOfSource() {
      sourceEnded = true;
      source.suspendReads();
      if (toUpstream) {
        endConfirmed = true;
      } else {
        endProbe.accept(this::onProbed);
      }
    }

    private void onProbed(ProbeResult result) {
      if (ended) {
        return;
      }
      if (result == ProbeResult.REFUSES) {
        abort();
        return;
      }
      endConfirmed = true;
      if (inFrames) {
        pending = buffers.allocate();
        TunnelFrames.markEnd(pending.getBuffer());
      }
      copy();
    }

    private void finish() throws IOException {
      if (!toUpstream && !framed) {
        setResetOnClose(caller, false);
      }
      sink.shutdownWrites();
      if (sink.flush()) {
        sink.suspendWrites();
        directionEnded();
      } else {
        sink.resumeWrites();
      }
    }

    private void release() {
      if (pending != null) {
        pending.close();
        pending = null;
      }
    }
  }
}
