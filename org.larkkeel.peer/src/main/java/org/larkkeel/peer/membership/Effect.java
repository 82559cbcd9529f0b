/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

import org.larkkeel.lib.Revision;

/**
 * An action that {@link Membership} requests from its caller, to be executed in order.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface Effect {

  /**
   * Sends a datagram.
   *
   * @param to the destination
   * @param message the message
   */
  record Send(NodeAddress to, Message message) implements Effect {}

  /**
   * Reports that the view of a member changed.
   *
   * @param member the current record; if it is dead, the requests of this incarnation are orphans
   * @param leaving true if the member itself or the host list announced that it is leaving
   */
  record MemberChanged(Member member, boolean leaving) implements Effect {}

  /**
   * Reports that a peer holds a newer configuration than this node. Repeated at most once a second
   * while this is the case.
   *
   * @param peer the peer that holds the configuration
   * @param revision the revision that the peer holds
   */
  record NewerRevision(Member peer, Revision revision) implements Effect {}

  /**
   * Reports that a load record arrived that is newer than the known one.
   *
   * @param load the record
   */
  record LoadReceived(LoadRecord load) implements Effect {}

  /**
   * Reports that a process with a greater incarnation runs under the name of this host; this node
   * must stop.
   *
   * @param successor the process with the greater incarnation
   */
  record Superseded(NodeId successor) implements Effect {}
}
