/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Limits the bytes that are read from a connection, below the parser of the protocol.
 *
 * <p>Parsers and handlers read until the socket is empty. A peer that sends faster than that would
 * keep the I/O thread for itself, and bytes that give no content, such as endless header fields or
 * chunk extensions, would be read without end. Items of content that are reported by {@link
 * #itemsRead} count in addition to their bytes, as many small ones take more time than a large one.
 *
 * <p>Invariants: in a turn of the event loop at most {@link #TURN_BYTES} and a buffer are read,
 * less {@link #ITEM_BYTES} for each item that was reported; the bytes that were read since the last
 * content are at most {@code maxOverheadBytes} and a buffer. Confined to the I/O thread of the
 * connection.
 *
 * @since 0.1
 */
public final class InputLimit extends AbstractStreamSourceConduit<StreamSourceConduit> {
  /** The bytes that one connection may read in a turn of the event loop. */
  public static final int TURN_BYTES = 32 << 10;

  /** What an item of content counts in a turn besides its bytes. */
  public static final int ITEM_BYTES = 64;

  private final long maxOverheadBytes;
  private long overheadBytes;
  private int turnBytes;
  private boolean exceeded;

  private InputLimit(StreamSourceConduit next, long maxOverheadBytes) {
    super(next);
    this.maxOverheadBytes = maxOverheadBytes;
  }

  /**
   * Limits the input of a connection. Must be called before anything is read from it.
   *
   * @param connection the connection
   * @param maxOverheadBytes the maximum number of bytes without content
   * @return the limit
   */
  public static InputLimit install(StreamConnection connection, long maxOverheadBytes) {
    ConduitStreamSourceChannel channel = connection.getSourceChannel();
    InputLimit limit = new InputLimit(channel.getConduit(), maxOverheadBytes);
    // The channel has set its handler on the conduit below already.
    limit.setReadReadyHandler(new ReadReadyHandler.ChannelListenerHandler<>(channel));
    channel.setConduit(limit);
    return limit;
  }

  /** Records that content was read, or that a new message is due. */
  public void contentRead() {
    overheadBytes = 0;
  }

  /**
   * Counts items of content, such as events and parts of a body, in the current turn.
   *
   * @param items the number of items that were read and handled
   */
  public void itemsRead(int items) {
    turnBytes = (int) Math.min(TURN_BYTES, turnBytes + (long) items * ITEM_BYTES);
  }

  /** Returns whether the connection failed because it sent too many bytes without content. */
  public boolean isExceeded() {
    return exceeded;
  }

  @Override
  public void setReadReadyHandler(ReadReadyHandler handler) {
    super.setReadReadyHandler(new TurnHandler(handler));
  }

  @Override
  public int read(ByteBuffer dst) throws IOException {
    return isTurnOver() ? 0 : (int) count(super.read(dst));
  }

  @Override
  public long read(ByteBuffer[] dsts, int offset, int length) throws IOException {
    return isTurnOver() ? 0 : count(super.read(dsts, offset, length));
  }

  @Override
  public long transferTo(long position, long count, FileChannel target) throws IOException {
    return isTurnOver() ? 0 : count(super.transferTo(position, count, target));
  }

  @Override
  public long transferTo(long count, ByteBuffer buffer, StreamSinkChannel target)
      throws IOException {
    return isTurnOver() ? 0 : count(super.transferTo(count, buffer, target));
  }

  private boolean isTurnOver() {
    return turnBytes >= TURN_BYTES;
  }

  private long count(long n) throws IOException {
    if (n > 0) {
      turnBytes += (int) n;
      overheadBytes += n;
      if (overheadBytes > maxOverheadBytes) {
        exceeded = true;
        throw new IOException("more than " + maxOverheadBytes + " bytes without content");
      }
    }
    return n;
  }

  /** Begins a turn whenever the connection is found readable. */
  private final class TurnHandler implements ReadReadyHandler {
    private final ReadReadyHandler next;

    TurnHandler(ReadReadyHandler next) {
      this.next = next;
    }

    @Override
    public void readReady() {
      turnBytes = 0;
      next.readReady();
    }

    @Override
    public void forceTermination() {
      next.forceTermination();
    }

    @Override
    public void terminated() {
      next.terminated();
    }
  }
}
