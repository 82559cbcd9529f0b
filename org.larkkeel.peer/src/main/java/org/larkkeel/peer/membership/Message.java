/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

import java.util.List;
import java.util.Optional;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Revision;

/**
 * One datagram of the membership protocol.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface Message {

  /**
   * Returns the sender and the records that every message carries.
   *
   * @return the header, never null
   */
  Header header();

  /**
   * The sender and the piggybacked records of a message.
   *
   * @param sender the node that sent the message
   * @param revision the newest configuration revision that the sender holds
   * @param members records about members
   * @param load load records
   */
  record Header(NodeId sender, Revision revision, List<Member> members, List<LoadRecord> load) {}

  /**
   * Requests an {@link Ack} from a node.
   *
   * @param header the header
   * @param sequence identifies the ping; returned in the answer
   * @param target the node to probe; a node of another host at the address does not answer
   */
  record Ping(Header header, long sequence, NodeId target) implements Message {}

  /**
   * Requests that a node probes another one.
   *
   * @param header the header
   * @param sequence identifies the request; returned in the answer
   * @param target the node to probe
   * @param address the address of the target
   */
  record PingRequest(Header header, long sequence, NodeId target, NodeAddress address)
      implements Message {}

  /**
   * Confirms that a node is alive.
   *
   * @param header the header
   * @param sequence the sequence of the ping or ping request
   * @param target the node that is alive
   */
  record Ack(Header header, long sequence, NodeId target) implements Message {}

  /**
   * Requests the members whose names follow a given one.
   *
   * @param header the header
   * @param digest the digest of the sender's members
   * @param after the last name received so far; empty in the first request
   */
  record SyncRequest(Header header, long digest, Optional<HostName> after) implements Message {}

  /**
   * A page of members, ordered by name.
   *
   * @param header the header; its members are the page
   * @param digest the digest of the sender's members
   * @param more true if further pages follow
   */
  record SyncReply(Header header, long digest, boolean more) implements Message {}
}
