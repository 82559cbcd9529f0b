/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.larkkeel.fairness.FairShares;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.relay.CallRank;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.ServiceName;

/**
 * The queue of calls that wait for a reservation: those of this node and those that other nodes
 * request.
 *
 * <p>Streams whose callers have the beginning go first, as the loss of one loses all work done for
 * it; then the others by rank, where the configuration names several; within a rank, calls that can
 * still meet their target, among them first those that were not refused before; then the others.
 * Within each group, those of the workspace with the smallest start tag go first in a ranked
 * service, then the oldest. Not thread-safe.
 */
final class ReservationQueue {
  private final Set<PendingReservation> pending = new LinkedHashSet<>();
  private final WorkspaceShares shares = new WorkspaceShares();
  private final OverloadDecisions overload;

  ReservationQueue(OverloadDecisions overload) {
    this.overload = overload;
  }

  void add(PendingReservation reservation) {
    reservation.setWaiting(true);
    pending.add(reservation);
    overload.added(reservation);
  }

  void remove(PendingReservation reservation) {
    reservation.setWaiting(false);
    pending.remove(reservation);
    shares.leave(reservation);
    overload.removed(reservation);
  }

  /** Returns whether a call of a service waits. */
  boolean has(ServiceName service) {
    return pending.stream().anyMatch(s -> s.service().equals(service));
  }

  /** Returns the shares of the workspaces of ranked services. */
  WorkspaceShares shares() {
    return shares;
  }

  int size() {
    return pending.size();
  }

  /** Returns one pass over all calls in the order in which they are to be placed. */
  PlacementOrder inOrder(long at, RelayConfiguration configuration, RankFloors floors) {
    return new PlacementOrder(entries(at, configuration), floors);
  }

  /** Returns all calls in order. */
  List<PendingReservation> calls(long at, RelayConfiguration configuration) {
    return entries(at, configuration).stream().map(PlacementOrder.Entry::reservation).toList();
  }

  private List<PlacementOrder.Entry> entries(long at, RelayConfiguration configuration) {
    List<Place> order = new ArrayList<>(pending.size());
    boolean shared = false;
    for (PendingReservation p : pending) {
      CallRank rank = configuration.ranks().orderingRank(p.service(), p.rank());
      order.add(
          new Place(
              new PlacementOrder.Entry(p, rank, 0),
              p.isStreaming(),
              overload.lateness(p, at),
              overload.isFresh(p),
              p.arrivedAt()));
      shared |= configuration.ranks().isRanked(p.service());
    }
    order.sort(Place::compareByArrival);
    if (shared) {
      order = withStartTags(order, configuration);
      order.sort(Place::compareByStartTag);
    }
    List<PlacementOrder.Entry> entries = new ArrayList<>(order.size());
    order.forEach(p -> entries.add(p.entry));
    return entries;
  }

  /**
   * Returns the calls with their start tags: in a ranked service that of the workspace, advanced by
   * the calls of the workspace that go before.
   */
  private List<Place> withStartTags(List<Place> order, RelayConfiguration configuration) {
    order.stream()
        .map(p -> p.entry.reservation())
        .filter(p -> configuration.ranks().isRanked(p.service()))
        .forEach(shares::join);
    Map<ServiceName, FairShares<Optional<WorkspaceName>>.Tags> tags = new HashMap<>();
    List<Place> tagged = new ArrayList<>(order.size());
    for (Place place : order) {
      PendingReservation p = place.entry.reservation();
      tagged.add(
          configuration.ranks().isRanked(p.service())
              ? place.withStartTag(
                  tags.computeIfAbsent(p.service(), shares::tags).next(p.workspace(), p.units()))
              : place);
    }
    return tagged;
  }

  /** A call with what it is ordered by, so that this is found once and not for each comparison. */
  private record Place(
      PlacementOrder.Entry entry,
      boolean streaming,
      OverloadDecisions.Lateness lateness,
      boolean fresh,
      long arrivedAt) {
    Place withStartTag(long tag) {
      return new Place(entry.withStartTag(tag), streaming, lateness, fresh, arrivedAt);
    }

    int compareByArrival(Place other) {
      int c = compareGroup(other);
      return c != 0 ? c : Long.compare(arrivedAt, other.arrivedAt);
    }

    int compareByStartTag(Place other) {
      int c = compareGroup(other);
      if (c == 0) {
        c = Long.compare(entry.startTag(), other.entry.startTag());
      }
      return c != 0 ? c : Long.compare(arrivedAt, other.arrivedAt);
    }

    private int compareGroup(Place other) {
      int c = Boolean.compare(other.streaming, streaming);
      if (c == 0) {
        c = entry.rank().compareTo(other.entry.rank());
      }
      if (c == 0) {
        c = lateness.compareTo(other.lateness);
      }
      return c != 0 ? c : Boolean.compare(other.fresh, fresh);
    }
  }

  /** Returns the calls of this node, in the order in which they began to wait. */
  List<CallState> own() {
    return pending.stream().filter(CallState.class::isInstance).map(CallState.class::cast).toList();
  }
}
