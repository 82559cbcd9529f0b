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
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.quota.QuotaMessage;
import org.larkkeel.relay.CrashSuspect;
import org.larkkeel.relay.RateLimitReport;
import org.larkkeel.relay.ReservationRequest;

/**
 * A message between two nodes; {@link PeerMessageCodec} encodes it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param kind the purpose of the message
 * @param sender the sending node
 * @param loads units in flight by upstream: the sender's own, or those of all nodes but the
 *     receiver in {@link Kind#SUMS} and {@link Kind#CHANGED_SUMS}
 * @param losingHandles the upstreams at which the sender, or in {@link Kind#SUMS} and {@link
 *     Kind#CHANGED_SUMS} a node that reports to it, recently observed that prefill handles are lost
 *     immediately
 * @param requests the pending reservations of the sender
 * @param grants reservations for calls of the receiver
 * @param suspects what was in progress at upstreams that crashed
 * @param quota the message between quota holders and the quota coordinator, if there is one
 * @param extensions the content that older nodes pass over, without what is part of another
 *     component
 */
record PeerMessage(
    Kind kind,
    Sender sender,
    ImmutableMap<UpstreamIncarnation, Long> loads,
    ImmutableSet<UpstreamIncarnation> losingHandles,
    ImmutableList<ReservationRequest> requests,
    ImmutableList<ReservationGrant> grants,
    ImmutableList<CrashSuspect> suspects,
    Optional<QuotaMessage> quota,
    MessageExtensions extensions) {

  /** The purpose of a message. Ordinals are sent, so the order of the constants must not change. */
  enum Kind {
    /** The sender's load, to all nodes of a small cluster or to a newly started node. */
    LOADS,

    /** The sender's load and pending reservations, to the coordinator and its standby. */
    REPORT,

    /** The complete load of all nodes but the receiver, from the coordinator. */
    SUMS,

    /** The coordinator's answer to requests: the reservations granted so far, possibly none. */
    GRANTS,

    /** A sign of life of the sender. */
    PRESENCE,

    /**
     * The part of {@link #SUMS} that has changed since the last report; 0 for an upstream without
     * load.
     */
    CHANGED_SUMS,

    /** The suspects of crashes known to the sender. */
    SUSPECTS,

    /** A message between quota holders and the quota coordinator. */
    QUOTA,

    /** A message about the build that began a stream. */
    STREAM
  }

  /**
   * The sending node.
   *
   * @param node the name of the node
   * @param dataCentre its data centre
   * @param state its state by its own report
   * @param changes the newest versions that it has seen in the store
   * @param rateLimits the rate limits of upstreams that it knows
   */
  record Sender(
      HostName node,
      DataCentreName dataCentre,
      NodeState state,
      FeedChanges changes,
      ImmutableList<RateLimitReport> rateLimits) {}

  /** Returns a message without any content but its sender. */
  static PeerMessage of(Kind kind, Sender sender) {
    return new PeerMessage(
        kind,
        sender,
        ImmutableMap.of(),
        ImmutableSet.of(),
        ImmutableList.of(),
        ImmutableList.of(),
        ImmutableList.of(),
        Optional.empty(),
        MessageExtensions.NONE);
  }

  /** Returns this message with loads. */
  PeerMessage withLoads(
      ImmutableMap<UpstreamIncarnation, Long> newLoads,
      ImmutableSet<UpstreamIncarnation> newLosingHandles) {
    return new PeerMessage(
        kind, sender, newLoads, newLosingHandles, requests, grants, suspects, quota, extensions);
  }

  /** Returns this message with pending reservations. */
  PeerMessage withRequests(ImmutableList<ReservationRequest> newRequests) {
    return new PeerMessage(
        kind, sender, loads, losingHandles, newRequests, grants, suspects, quota, extensions);
  }

  /** Returns this message with grants. */
  PeerMessage withGrants(ImmutableList<ReservationGrant> newGrants) {
    return new PeerMessage(
        kind, sender, loads, losingHandles, requests, newGrants, suspects, quota, extensions);
  }

  /** Returns this message with suspects of crashes. */
  PeerMessage withSuspects(ImmutableList<CrashSuspect> newSuspects) {
    return new PeerMessage(
        kind, sender, loads, losingHandles, requests, grants, newSuspects, quota, extensions);
  }

  /** Returns this message with a quota message. */
  PeerMessage withQuota(QuotaMessage newQuota) {
    return new PeerMessage(
        kind,
        sender,
        loads,
        losingHandles,
        requests,
        grants,
        suspects,
        Optional.of(newQuota),
        extensions);
  }

  /** Returns this message with an extension. */
  PeerMessage withExtension(ExtensionId id, byte[] bytes) {
    return new PeerMessage(
        kind,
        sender,
        loads,
        losingHandles,
        requests,
        grants,
        suspects,
        quota,
        extensions.with(id, bytes));
  }
}
