/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer;

import org.larkkeel.lib.Revision;
import org.larkkeel.peer.membership.LoadRecord;
import org.larkkeel.peer.membership.Member;
import org.larkkeel.peer.membership.NodeId;

/**
 * Is notified of changes that this node receives from its peers.
 *
 * <p>All methods are called in order on the core thread of the node and must not block. An
 * exception is logged and otherwise ignored.
 *
 * @since 0.1
 */
public interface PeerListener {

  /**
   * Called when the view of a member changed.
   *
   * @param member the current record; if it is dead, the requests of exactly this incarnation are
   *     orphans
   * @param leaving true if the member takes no new ownership
   */
  default void memberChanged(Member member, boolean leaving) {}

  /**
   * Called when a peer holds a newer configuration, to be pulled with {@link PeerNode#pullConfig}.
   *
   * @param peer the peer that holds the configuration
   * @param revision the revision that the peer holds
   */
  default void newerRevision(Member peer, Revision revision) {}

  /**
   * Called when a load record arrived from another node that is newer than the one known.
   *
   * @param load the record
   */
  default void loadReceived(LoadRecord load) {}

  /**
   * Called when a process with a greater incarnation runs under the name of this host; this node
   * must stop.
   *
   * @param successor the process with the greater incarnation
   */
  default void superseded(NodeId successor) {}
}
