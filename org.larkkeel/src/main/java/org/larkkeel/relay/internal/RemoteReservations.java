/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.relay.ReservationRequest;

/**
 * The reservations that other nodes request from this one.
 *
 * <p>Each node sends all its requests again and again, so that the loss of a message is safe: a
 * request that is no longer sent has ended. Invariant: a reservation in here is pending, granted or
 * rejected. Not thread-safe.
 */
final class RemoteReservations {
  private final Map<HostName, ClientRequests> clients = new HashMap<>();
  private final ReservationQueue queue;

  /** The requests of one node. */
  private static final class ClientRequests {
    private final Map<RequestId, RemoteReservation> reservations = new HashMap<>();
    private long receivedAt;
  }

  RemoteReservations(ReservationQueue queue) {
    this.queue = queue;
  }

  /**
   * Replaces the requests of a node by all those that it sends now.
   *
   * @return the reservations that were granted or rejected before, of which the node does not know
   */
  ImmutableList<RemoteReservation> replaceRequests(
      long at,
      HostName node,
      DataCentreName dataCentre,
      ImmutableList<ReservationRequest> requests) {
    ClientRequests client = clients.computeIfAbsent(node, n -> new ClientRequests());
    client.receivedAt = at;
    Map<RequestId, RemoteReservation> previous = new HashMap<>(client.reservations);
    client.reservations.clear();
    ImmutableList.Builder<RemoteReservation> answered = ImmutableList.builder();
    for (ReservationRequest request : requests) {
      RemoteReservation reservation = previous.remove(request.call());
      if (reservation == null) {
        reservation = new RemoteReservation(node, dataCentre, request, at);
        queue.add(reservation);
      } else if (!reservation.isAnswered()) {
        reservation.update(request);
      } else if (reservation.reservedUpstream() != null
          && !RemoteReservation.accepts(request, reservation.reservedUpstream())) {
        reservation.release();
        reservation.update(request);
        queue.add(reservation);
      } else {
        answered.add(reservation);
      }
      client.reservations.put(request.call(), reservation);
    }
    previous.values().forEach(this::end);
    return answered.build();
  }

  /** Releases the grants at incarnations of upstreams that have ended; their calls wait again. */
  void incarnationsEnded(Set<UpstreamIncarnation> incarnations) {
    for (ClientRequests client : clients.values()) {
      for (RemoteReservation reservation : client.reservations.values()) {
        if (reservation.reservedUpstream() != null
            && incarnations.contains(reservation.reservedUpstream().incarnation())) {
          reservation.release();
          queue.add(reservation);
        }
      }
    }
  }

  /**
   * Drops the requests of nodes that have been unresponsive for longer than {@code timeoutNanos}.
   */
  void dropUnresponsive(long at, long timeoutNanos) {
    for (Iterator<ClientRequests> i = clients.values().iterator(); i.hasNext(); ) {
      ClientRequests client = i.next();
      if (at - client.receivedAt > timeoutNanos) {
        client.reservations.values().forEach(this::end);
        i.remove();
      }
    }
  }

  private void end(RemoteReservation reservation) {
    queue.remove(reservation);
    reservation.release();
  }
}
