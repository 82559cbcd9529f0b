/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.util.List;
import org.larkkeel.daemon.settings.ListenerSettings;
import org.larkkeel.daemon.settings.Settings;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.peer.PeerSettings;
import org.larkkeel.peer.membership.HostEntry;
import org.larkkeel.peer.membership.NodeAddress;
import org.larkkeel.peer.membership.NodeId;
import org.larkkeel.store.HostPhase;

/**
 * Converts settings and host lists to the types of the peer package. Stateless and safe for use by
 * several threads.
 */
final class PeerConversions {
  private PeerConversions() {}

  /**
   * Returns the settings of the peer node.
   *
   * @throws IOException if the secret cannot be read
   */
  static PeerSettings peerSettings(Settings settings, Incarnation incarnation, long seed)
      throws IOException {
    NodeId id = new NodeId(settings.host(), incarnation);
    ListenerSettings listener = settings.peer();
    PeerSettings result =
        new PeerSettings(id, settings.dataCentre(), listener.address()).setSeed(seed);
    listener.tls().ifPresent(files -> result.setSslContext(PemTls.context(files)));
    if (settings.peerSecret().isPresent()) {
      result.setKeys(List.of(PeerSecret.read(settings.peerSecret().get())));
    }
    return result;
  }

  /** Converts the platform's host list to entries of the peer node. */
  static ImmutableList<HostEntry> hostEntries(List<org.larkkeel.store.HostEntry> list) {
    return list.stream()
        .map(
            h ->
                new HostEntry(
                    h.name(), NodeAddress.parse(h.address()), h.phase() == HostPhase.LEAVING))
        .collect(ImmutableList.toImmutableList());
  }
}
