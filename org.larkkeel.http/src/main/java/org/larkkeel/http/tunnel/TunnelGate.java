/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.tunnel;

import com.google.common.collect.ImmutableList;
import java.net.InetAddress;
import java.util.Optional;
import org.larkkeel.http.upstream.UpstreamAddress;
import org.larkkeel.lib.UpstreamName;

/**
 * Decides which tunnels a node opens for others.
 *
 * <p>Called on the I/O thread only.
 *
 * @since 0.1
 */
public interface TunnelGate {
  /**
   * Returns whether a host runs a node of this cluster.
   *
   * @param host the address from which a tunnel is requested
   */
  boolean isPeer(InetAddress host);

  /**
   * Returns the address of a listed upstream, if this node reaches it directly. A tunnel never
   * leads to another tunnel.
   *
   * @param upstream the name
   */
  Optional<UpstreamAddress> address(UpstreamName upstream);

  /**
   * Returns the addresses of some other upstreams of the same service.
   *
   * @param upstream the name
   */
  ImmutableList<UpstreamAddress> siblings(UpstreamName upstream);
}
