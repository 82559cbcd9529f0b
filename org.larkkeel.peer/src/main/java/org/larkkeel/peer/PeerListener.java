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
 * Told what this node learns from its peers.
 *
 * <p>All methods are called on the one thread of the node's core, in order, and must not block. An
 * exception is logged and otherwise ignored.
 *
 * @since 0.1
 */
public interface PeerListener {

  /**
   * The view of a member changed.
   *
   * @param member the record in force; dead means that requests of exactly this incarnation are
   *     orphans
   * @param leaving true if the member takes no new ownership
   */
  default void memberChanged(Member member, boolean leaving) {}

  /**
   * A peer holds a newer configuration, to be pulled with {@link PeerNode#pullConfig}.
   *
   * @param peer a node that holds it
   * @param revision what it holds
   */
  default void newerRevision(Member peer, Revision revision) {}

  /**
   * A load record arrived from another node.
   *
   * @param load the record
   */
  default void loadLearned(LoadRecord load) {}

  /**
   * A later process runs under the name of this host; this node must stop.
   *
   * @param later the other process
   */
  default void superseded(NodeId later) {}
}
