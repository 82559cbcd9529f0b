/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableList;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.larkkeel.http.tunnel.TunnelGate;
import org.larkkeel.http.upstream.UpstreamAddress;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.relay.RelayRouter;
import org.larkkeel.relay.RelayUpstream;

/**
 * Opens tunnels for live peers, to the upstreams that the router knows and reaches directly.
 *
 * <p>Confined to the I/O thread.
 */
final class RouterTunnelGate implements TunnelGate {
  private final RelayRouter router;
  private final Supplier<List<InetSocketAddress>> livePeers;

  RouterTunnelGate(RelayRouter router, Supplier<List<InetSocketAddress>> livePeers) {
    this.router = router;
    this.livePeers = livePeers;
  }

  @Override
  public boolean isPeer(InetAddress host) {
    return livePeers.get().stream().anyMatch(p -> p.getAddress().equals(host));
  }

  @Override
  public Optional<UpstreamAddress> address(UpstreamName upstream) {
    return router.directUpstream(upstream).map(u -> UpstreamAddress.parse(u.address()));
  }

  @Override
  public ImmutableList<UpstreamAddress> siblings(UpstreamName upstream) {
    return router
        .directUpstream(upstream)
        .map(router::siblings)
        .orElse(ImmutableList.<RelayUpstream>of())
        .stream()
        .map(u -> UpstreamAddress.parse(u.address()))
        .collect(ImmutableList.toImmutableList());
  }
}
