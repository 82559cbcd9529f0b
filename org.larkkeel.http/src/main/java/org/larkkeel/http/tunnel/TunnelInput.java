/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.tunnel;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/**
 * The bytes that a node reads from a tunnel, below the parser of the protocol: first the answer of
 * the peer, then the bytes of the upstream.
 *
 * <p>Invariants: the end of the input is reported only if the peer marked it as that of the
 * upstream; any other end of the connection is a failure, as the peer may have ended. A peer of an
 * earlier version marks no end. No byte of the upstream is read before {@link #start}. Confined to
 * the I/O thread of the connection.
 */
final class TunnelInput extends AbstractStreamSourceConduit<StreamSourceConduit> {
  private static final byte[] HEAD_END = {'\r', '\n', '\r', '\n'};
  private static final ByteBuffer NOTHING = ByteBuffer.allocate(0).asReadOnlyBuffer();

  private enum Phase {
    /** The head of the peer's answer is being read. */
    HEAD,
    /** The head was read, and the tunnel is not in use yet. */
    PAUSED,
    /** The bytes of the upstream come in frames. */
    FRAMES,
    /** The bytes of the upstream come as they are. */
    PLAIN,
    /** The end was marked. */
    ENDED,
    /** The tunnel is not used; what comes is passed up until the connection is closed. */
    UNUSED
  }

  private final ByteBuffer header = ByteBuffer.allocate(TunnelFrames.HEADER_BYTES);
  private Phase phase = Phase.HEAD;
  private int headEndBytes;
  private int frameBytesLeft;

  /** What was read beyond the head. */
  private ByteBuffer early = NOTHING;

  private TunnelInput(StreamSourceConduit next) {
    super(next);
  }

  /** Sets the input of a connection. Must be called before anything is read from it. */
  static TunnelInput install(StreamConnection connection) {
    ConduitStreamSourceChannel channel = connection.getSourceChannel();
    TunnelInput input = new TunnelInput(channel.getConduit());
    // The channel has set its handler on the conduit below already.
    input.setReadReadyHandler(new ReadReadyHandler.ChannelListenerHandler<>(channel));
    channel.setConduit(input);
    return input;
  }

  /**
   * Starts to read the bytes of the upstream. Must be called once the head was read.
   *
   * @param framed whether the peer sends {@linkplain TunnelFrames frames}
   */
  void start(boolean framed) {
    phase = framed ? Phase.FRAMES : Phase.PLAIN;
  }

  /**
   * Gives the tunnel up. Must be called before the connection is closed if the input was not
   * started, as the close reads up to the end.
   */
  void giveUp() {
    phase = Phase.UNUSED;
  }

  @Override
  public int read(ByteBuffer dst) throws IOException {
    return switch (phase) {
      case HEAD -> readHead(dst);
      case PAUSED -> 0;
      case FRAMES -> readFrames(dst);
      case PLAIN -> readExpected(dst);
      case ENDED -> -1;
      case UNUSED -> next.read(dst);
    };
  }

  @Override
  public long read(ByteBuffer[] dsts, int offset, int length) throws IOException {
    long total = 0;
    for (int i = offset; i < offset + length; i++) {
      while (dsts[i].hasRemaining()) {
        int n = read(dsts[i]);
        if (n <= 0) {
          return total > 0 ? total : n;
        }
        total += n;
      }
    }
    return total;
  }

  @Override
  public long transferTo(long position, long count, FileChannel target) throws IOException {
    return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
  }

  @Override
  public long transferTo(long count, ByteBuffer buffer, StreamSinkChannel target)
      throws IOException {
    return IoUtils.transfer(new ConduitReadableByteChannel(this), count, buffer, target);
  }

  @Override
  public void resumeReads() {
    if (early.hasRemaining() && phase != Phase.PAUSED) {
      // The connection may not become readable again for bytes that were read already.
      wakeupReads();
    } else {
      super.resumeReads();
    }
  }

  /** Reads up to the end of the head, and keeps what was read beyond it. */
  private int readHead(ByteBuffer dst) throws IOException {
    int from = dst.position();
    int n = next.read(dst);
    for (int i = from; i < dst.position(); i++) {
      byte b = dst.get(i);
      headEndBytes = b == HEAD_END[headEndBytes] ? headEndBytes + 1 : b == '\r' ? 1 : 0;
      if (headEndBytes == HEAD_END.length) {
        phase = Phase.PAUSED;
        keepAfter(i + 1, dst);
        return dst.position() - from;
      }
    }
    return n;
  }

  private void keepAfter(int end, ByteBuffer dst) {
    byte[] rest = new byte[dst.position() - end];
    for (int i = 0; i < rest.length; i++) {
      rest[i] = dst.get(end + i);
    }
    early = ByteBuffer.wrap(rest);
    dst.position(end);
  }

  private int readFrames(ByteBuffer dst) throws IOException {
    if (frameBytesLeft == 0 && !readHeader()) {
      return 0;
    }
    if (phase == Phase.ENDED) {
      return -1;
    }
    int limit = dst.limit();
    dst.limit(dst.position() + Math.min(dst.remaining(), frameBytesLeft));
    try {
      int n = readExpected(dst);
      frameBytesLeft -= n;
      return n;
    } finally {
      dst.limit(limit);
    }
  }

  /** Reads the header of the next frame; returns false if it has not come yet. */
  private boolean readHeader() throws IOException {
    while (header.hasRemaining()) {
      if (readExpected(header) == 0) {
        return false;
      }
    }
    int bytes = header.flip().getInt();
    header.clear();
    if (bytes < 0 || bytes > TunnelFrames.MAX_BYTES) {
      throw new IOException(
          "the peer sent a frame of " + bytes + " bytes, expected 0 to " + TunnelFrames.MAX_BYTES);
    }
    frameBytesLeft = bytes;
    if (bytes == 0) {
      phase = Phase.ENDED;
    }
    return true;
  }

  /** Reads bytes where the end of the connection is no end that was marked. */
  private int readExpected(ByteBuffer dst) throws IOException {
    if (early.hasRemaining()) {
      int n = Math.min(early.remaining(), dst.remaining());
      dst.put(early.slice(early.position(), n));
      early.position(early.position() + n);
      return n;
    }
    int n = next.read(dst);
    if (n < 0) {
      throw new IOException("the tunnel ended, and not as the upstream closed its connection");
    }
    return n;
  }
}
