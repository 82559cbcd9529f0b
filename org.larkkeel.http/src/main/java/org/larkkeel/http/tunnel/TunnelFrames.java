/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.tunnel;

import java.nio.ByteBuffer;

/**
 * The frames in which a tunnel carries the bytes of the upstream.
 *
 * <p>A frame is the number of its bytes, as four bytes with the most significant first, and these
 * bytes. A frame without bytes says that the upstream closed its connection in order and was not
 * found to refuse connections afterwards; nothing follows it. Without that frame, the end of a
 * tunnel may be that of the node that carries it.
 */
final class TunnelFrames {
  /** The number of bytes before those that a frame carries. */
  static final int HEADER_BYTES = 4;

  /** The maximum number of bytes that a frame carries. */
  static final int MAX_BYTES = 1 << 20;

  private TunnelFrames() {}

  /** Leaves room for the header in an empty buffer, which gets the bytes of one frame. */
  static void begin(ByteBuffer frame) {
    frame.position(HEADER_BYTES);
  }

  /** Writes the header of a frame that was begun, and makes the frame readable. */
  static void complete(ByteBuffer frame) {
    frame.flip();
    frame.putInt(0, frame.limit() - HEADER_BYTES);
  }

  /** Makes the buffer the frame that marks the end. */
  static void markEnd(ByteBuffer frame) {
    frame.clear();
    frame.putInt(0);
    frame.flip();
  }
}
