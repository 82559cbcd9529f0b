/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.larkkeel.relay.CallRank;
import org.larkkeel.relay.ServiceName;

/**
 * One pass over the waiting calls in the order in which they are to be placed.
 *
 * <p>It follows the order of the queue, except that the first call of a rank below its {@link
 * RankFloor} goes before all others of its service that are not streaming. Floors are read anew for
 * each turn, as each grant changes them. Invariant: each call has at most one turn. Not
 * thread-safe.
 */
final class PlacementOrder {
  private final List<Entry> order;
  private final RankFloors floors;

  /** The calls that are not streaming, in order, by rank; of services with several such ranks. */
  private final Map<ServiceName, Map<CallRank, Deque<PendingReservation>>> byRank = new HashMap<>();

  private final Set<PendingReservation> passed = new HashSet<>();
  private final Set<ServiceName> heldUp = new HashSet<>();
  private int index;

  /**
   * A waiting call.
   *
   * @param reservation the call
   * @param rank the rank by which it is ordered
   * @param startTag the start tag by which it is ordered within its group; 0 in a service whose
   *     workspaces have no shares
   */
  record Entry(PendingReservation reservation, CallRank rank, long startTag) {
    /** Returns a copy with another start tag. */
    Entry withStartTag(long tag) {
      return new Entry(reservation, rank, tag);
    }
  }

  /**
   * The turn of a call to be placed.
   *
   * @param reservation the call, which waits
   * @param claim whether its rank is owed capacity
   */
  record Turn(PendingReservation reservation, Claim claim) {}

  /** Why a call has its turn. */
  enum Claim {
    /** By the order of the queue. */
    ORDER,

    /** Its rank is below its minimum, so that the fill bounds for late calls do not apply. */
    FLOOR
  }

  PlacementOrder(List<Entry> order, RankFloors floors) {
    this.order = order;
    this.floors = floors;
    for (Entry e : order) {
      if (!e.reservation().isStreaming()) {
        byRank
            .computeIfAbsent(e.reservation().service(), s -> new TreeMap<>())
            .computeIfAbsent(e.rank(), r -> new ArrayDeque<>())
            .add(e.reservation());
      }
    }
    byRank.values().removeIf(ranks -> ranks.size() < 2);
  }

  /** Returns all calls in the order of the queue, also those that have had their turn. */
  List<PendingReservation> calls() {
    return order.stream().map(Entry::reservation).toList();
  }

  /** Ends the turns of a service for this pass: it has no capacity for its next call. */
  void holdUp(ServiceName service) {
    heldUp.add(service);
  }

  /** Returns the next turn; empty after the last one. */
  Optional<Turn> next(long at) {
    for (; index < order.size(); index++) {
      PendingReservation first = order.get(index).reservation();
      if (!isDue(first) || heldUp.contains(first.service())) {
        continue;
      }
      PendingReservation owed = first.isStreaming() ? null : owed(at, first.service());
      passed.add(owed == null ? first : owed);
      return Optional.of(owed == null ? new Turn(first, Claim.ORDER) : new Turn(owed, Claim.FLOOR));
    }
    return Optional.empty();
  }

  private boolean isDue(PendingReservation reservation) {
    return reservation.isWaiting() && !passed.contains(reservation);
  }

  /** Returns the first call of the rank that is below its minimum; null if none is. */
  private PendingReservation owed(long at, ServiceName service) {
    Map<CallRank, Deque<PendingReservation>> ranks = byRank.get(service);
    if (ranks == null) {
      return null;
    }
    for (Deque<PendingReservation> calls : ranks.values()) {
      while (!calls.isEmpty() && !isDue(calls.getFirst())) {
        calls.removeFirst();
      }
    }
    ranks.values().removeIf(Deque::isEmpty);
    return floors
        .of(service)
        .belowMinimum(at, new ArrayList<>(ranks.keySet()))
        .map(r -> ranks.get(r).getFirst())
        .orElse(null);
  }
}
