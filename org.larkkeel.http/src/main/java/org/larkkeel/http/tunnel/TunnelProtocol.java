/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.tunnel;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;

/**
 * The head with which a node asks another one for a tunnel: {@code CONNECT} with the address of the
 * upstream as its target and the name in a header. The name decides; each node uses the address
 * that it has read itself.
 *
 * <p>A node that reads {@linkplain TunnelFrames frames} says so in a header. A peer that sends them
 * repeats the header in its answer; one of an earlier version does not, and copies the bytes as
 * they are.
 */
final class TunnelProtocol {
  static final HttpString UPSTREAM = new HttpString("Larkkeel-Upstream");

  static final HttpString FRAMES = new HttpString("Larkkeel-Frames");

  /** The value of {@link #FRAMES}. */
  static final String FRAMES_VERSION = "1";

  /** The tunnel is open: the bytes that follow are those of the upstream. */
  static final int OPEN = StatusCodes.NO_CONTENT;

  /** The upstream refuses connections, while another one of its service accepts them. */
  static final int REFUSED = StatusCodes.BAD_GATEWAY;

  /** This node does not reach the upstream, or takes no more tunnels. */
  static final int UNAVAILABLE = StatusCodes.SERVICE_UNAVAILABLE;

  private TunnelProtocol() {}

  /** Returns whether the sender of a head reads or sends frames. */
  static boolean isFramed(HeaderMap headers) {
    return FRAMES_VERSION.equals(headers.getFirst(FRAMES));
  }
}
