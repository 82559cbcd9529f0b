/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.HashMap;
import java.util.Map;
import org.larkkeel.relay.CallRank;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.ServiceName;

/** The {@link RankFloor} of each service that is ordered by rank. Not thread-safe. */
final class RankFloors {
  private final Map<ServiceName, RankFloor> floors = new HashMap<>();

  /** Returns the floor of a service. */
  RankFloor of(ServiceName service) {
    return floors.computeIfAbsent(service, s -> new RankFloor());
  }

  /** Records that units were granted to a call; ignored in services without an order by rank. */
  void granted(
      long at, RelayConfiguration configuration, PendingReservation reservation, long units) {
    ServiceName service = reservation.service();
    if (configuration.ranks().isOrdered(service)) {
      CallRank rank = configuration.ranks().orderingRank(service, reservation.rank());
      of(service).granted(at, rank, units);
    }
  }
}
