/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Revision;
import org.larkkeel.peer.membership.Member;
import org.larkkeel.peer.membership.Membership;
import org.larkkeel.peer.membership.NodeAddress;
import org.larkkeel.peer.ownership.Ownership;

/**
 * A snapshot of the cluster as known to one node.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param self the node's own record
 * @param members all known members, including the node itself
 * @param owners the hosts that may own keys
 * @param ownership maps each key to its owner
 * @param revisions the configuration revision that each present host last reported
 * @param joined true once a peer has answered
 * @since 0.1
 */
public record PeerView(
    Member self,
    List<Member> members,
    Set<HostName> owners,
    Ownership ownership,
    Map<HostName, Revision> revisions,
    boolean joined) {

  /**
   * Creates a view from a membership.
   *
   * @param membership the membership, not changed during the call
   * @param previous the previous view; its ownership object is reused if the owners are the same
   */
  static PeerView of(Membership membership, Optional<PeerView> previous) {
    List<Member> members = membership.members();
    Map<HostName, Revision> revisions = new HashMap<>();
    for (Member member : members) {
      HostName host = member.id().host();
      membership.revisionOf(host).ifPresent(revision -> revisions.put(host, revision));
    }
    Set<HostName> owners = Set.copyOf(membership.owners());
    Ownership ownership =
        previous
            .filter(view -> view.owners().equals(owners))
            .map(PeerView::ownership)
            .orElseGet(() -> new Ownership(owners));
    return new PeerView(
        membership.self(),
        List.copyOf(members),
        owners,
        ownership,
        Map.copyOf(revisions),
        membership.isJoined());
  }

  /**
   * Returns the record of a host that is present.
   *
   * @param host the host
   * @return the record; empty if the host is unknown, dead or has left
   */
  public Optional<Member> findPresent(HostName host) {
    return members.stream()
        .filter(known -> known.id().host().equals(host) && known.state().isPresent())
        .findFirst();
  }

  /**
   * Calls a host at its address; the result fails with {@link LarkkeelException} if the host is not
   * present.
   */
  <T> CompletableFuture<T> callAt(HostName host, Function<NodeAddress, CompletableFuture<T>> call) {
    return findPresent(host)
        .map(member -> call.apply(member.address()))
        .orElseGet(
            () ->
                CompletableFuture.failedFuture(
                    new LarkkeelException(
                        ErrorKind.NOT_READY, "the host " + host + " is not a live peer")));
  }
}
