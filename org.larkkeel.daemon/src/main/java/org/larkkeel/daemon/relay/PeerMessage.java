/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.quota.QuotaMessage;
import org.larkkeel.relay.RateWord;
import org.larkkeel.relay.RoomAsk;
import org.larkkeel.relay.Suspect;

/**
 * What one node tells another; {@link PeerMessageCodec} has its bytes.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param kind what it is for
 * @param sender who tells
 * @param loads units in flight by upstream: the sender's own, or those of all nodes but the
 *     receiver in {@link Kind#SUMS} and {@link Kind#CHANGED_SUMS}
 * @param lapsing upstreams whose prompts were found to be lost at once
 * @param asks the calls for which the sender asks room
 * @param grants room for calls of the receiver
 * @param suspects requests under which upstreams ended
 * @param quota what the sender tells of quotas
 */
record PeerMessage(
    Kind kind,
    Sender sender,
    ImmutableMap<UpstreamLife, Long> loads,
    ImmutableSet<UpstreamLife> lapsing,
    ImmutableList<RoomAsk> asks,
    ImmutableList<RoomGrant> grants,
    ImmutableList<Suspect> suspects,
    Optional<QuotaMessage> quota) {

  /** What a message is for. */
  enum Kind {
    /** The sender's load, to all nodes of a small fleet. */
    LOADS,

    /** The sender's load and asks, to the nodes that give room. */
    REPORT,

    /** The load of all nodes but the receiver, from the node that gives room. */
    SUMS,

    /** The answer to asks: room for those for which there is any by now. */
    GRANTS,

    /** That the sender lives. */
    PRESENCE,

    /**
     * As {@link #SUMS}, where they have changed since they were told last; 0 where none is left.
     */
    CHANGED_SUMS,

    /** What the sender knows of requests under which upstreams ended. */
    SUSPECTS,

    /** What nodes and the coordinator of quotas tell each other. */
    QUOTA
  }

  /**
   * Who tells.
   *
   * @param node its name
   * @param place its data centre
   * @param state what it says of itself
   * @param changes the newest changes that it has seen in the store
   * @param rates what it knows of limits of upstreams
   */
  record Sender(
      HostName node,
      DataCentreName place,
      NodeState state,
      FeedChanges changes,
      ImmutableList<RateWord> rates) {}

  /** A message without any content but its sender. */
  static PeerMessage of(Kind kind, Sender sender) {
    return new PeerMessage(
        kind,
        sender,
        ImmutableMap.of(),
        ImmutableSet.of(),
        ImmutableList.of(),
        ImmutableList.of(),
        ImmutableList.of(),
        Optional.empty());
  }

  /** This message with a load. */
  PeerMessage withLoads(ImmutableMap<UpstreamLife, Long> now, ImmutableSet<UpstreamLife> lost) {
    return new PeerMessage(kind, sender, now, lost, asks, grants, suspects, quota);
  }

  /** This message with asks. */
  PeerMessage withAsks(ImmutableList<RoomAsk> now) {
    return new PeerMessage(kind, sender, loads, lapsing, now, grants, suspects, quota);
  }

  /** This message with grants. */
  PeerMessage withGrants(ImmutableList<RoomGrant> now) {
    return new PeerMessage(kind, sender, loads, lapsing, asks, now, suspects, quota);
  }

  /** This message with suspects. */
  PeerMessage withSuspects(ImmutableList<Suspect> now) {
    return new PeerMessage(kind, sender, loads, lapsing, asks, grants, now, quota);
  }

  /** This message with what is told of quotas. */
  PeerMessage withQuota(QuotaMessage now) {
    return new PeerMessage(kind, sender, loads, lapsing, asks, grants, suspects, Optional.of(now));
  }
}
