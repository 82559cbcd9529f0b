/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.Revision;
import org.larkkeel.peer.membership.MembershipSettings;
import org.larkkeel.peer.membership.NodeAddress;
import org.larkkeel.peer.membership.NodeId;

/** Builds nodes on the loopback address. */
final class TestNodes {
  private TestNodes() {}

  static PeerSettings settings(String host, long incarnation, List<NodeAddress> seeds) {
    NodeId id = new NodeId(new HostName(host), new Incarnation(incarnation));
    InetSocketAddress listen = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    return new PeerSettings(id, new DataCentreName("dc-1"), listen)
        .setSeeds(seeds)
        .setMembership(fast());
  }

  /**
   * Settings with shorter periods than the defaults, such as ten times as many probes, so that
   * tests run fast.
   */
  static MembershipSettings fast() {
    return new MembershipSettings(
        TimeUnit.MILLISECONDS.toNanos(50),
        TimeUnit.MILLISECONDS.toNanos(100),
        TimeUnit.MILLISECONDS.toNanos(400),
        3,
        TimeUnit.MILLISECONDS.toNanos(1_000),
        4,
        4,
        440,
        14_000,
        1_150,
        TimeUnit.SECONDS.toNanos(1),
        TimeUnit.SECONDS.toNanos(1),
        TimeUnit.MINUTES.toNanos(1),
        1_024);
  }

  static List<PeerNode> startAll(int count, PeerListener listener) throws IOException {
    return startAll(count, listener, fast());
  }

  static List<PeerNode> startAll(int count, PeerListener listener, MembershipSettings membership)
      throws IOException {
    List<PeerNode> nodes = new ArrayList<>();
    List<NodeAddress> seeds = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      PeerSettings settings = settings("host-" + i, 1, seeds).setMembership(membership);
      PeerNode node = PeerNode.start(settings, listener, TestNodes::noConfig);
      nodes.add(node);
      seeds.add(node.address());
    }
    return nodes;
  }

  static ConfigContent noConfig(Revision from) {
    return new ConfigContent(from, new byte[0], false);
  }
}
