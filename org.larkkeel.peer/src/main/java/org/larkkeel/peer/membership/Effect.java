/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

import org.larkkeel.lib.Revision;

/**
 * What {@link Membership} wants done, in order.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface Effect {

  /**
   * Send a datagram.
   *
   * @param to the destination
   * @param message the message
   */
  record Send(NodeAddress to, Message message) implements Effect {}

  /**
   * The view of a member changed.
   *
   * @param member the record now in force; a dead one names the incarnation whose requests are
   *     orphans
   * @param leaving true if the member or the host list says that it leaves
   */
  record MemberChanged(Member member, boolean leaving) implements Effect {}

  /**
   * A peer holds a newer configuration than this node. Repeated at most once a second while it
   * stays so.
   *
   * @param peer a node that holds it
   * @param revision the revision
   */
  record NewerRevision(Member peer, Revision revision) implements Effect {}

  /**
   * A load record arrived that is newer than the one known.
   *
   * @param load the record
   */
  record LoadLearned(LoadRecord load) implements Effect {}

  /**
   * A later process runs under the name of this host; this one must stop.
   *
   * @param later the other process
   */
  record Superseded(NodeId later) implements Effect {}
}
