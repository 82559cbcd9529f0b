/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import org.larkkeel.lib.UpstreamName;

/**
 * An upstream and the way in which connections to it are opened. Connections of different
 * destinations are pooled separately.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface Destination {
  /** Returns the address of the upstream. */
  UpstreamAddress address();

  /**
   * Connections to the address of the upstream.
   *
   * @param address the address
   */
  record Direct(UpstreamAddress address) implements Destination {}

  /**
   * Connections through tunnels that other nodes open to the upstream.
   *
   * @param address the address
   * @param upstream the name by which other nodes know the upstream
   */
  record Tunnel(UpstreamAddress address, UpstreamName upstream) implements Destination {}
}
