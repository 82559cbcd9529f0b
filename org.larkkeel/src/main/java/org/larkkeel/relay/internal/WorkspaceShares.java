/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.larkkeel.fairness.FairShares;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.ReservationMode;
import org.larkkeel.relay.ServiceName;

/**
 * The {@link FairShares} of the workspaces of each ranked service, by reserved units.
 *
 * <p>Calls without a workspace, and those of older nodes, share as one workspace. Invariant: a call
 * counts as waiting from the first order in which it takes part until it leaves the queue, under
 * the workspace that it had in the last order. Not thread-safe.
 */
final class WorkspaceShares {
  private final Map<ServiceName, FairShares<Optional<WorkspaceName>>> byService = new HashMap<>();
  private final Map<PendingReservation, Joined> joined = new HashMap<>();
  private ReservationMode mode = ReservationMode.EACH;

  /** The shares and the workspace under which a call waits. */
  private record Joined(
      FairShares<Optional<WorkspaceName>> shares, Optional<WorkspaceName> workspace) {}

  /** Makes a call of a ranked service take part in the shares, under its present workspace. */
  void join(PendingReservation p) {
    FairShares<Optional<WorkspaceName>> shares = of(p.service());
    Joined before = joined.get(p);
    if (before != null && before.shares() == shares && before.workspace().equals(p.workspace())) {
      return;
    }
    leave(p);
    shares.waits(p.workspace());
    joined.put(p, new Joined(shares, p.workspace()));
  }

  /** Handles a call that leaves the queue; does nothing if it does not take part. */
  void leave(PendingReservation p) {
    Joined before = joined.remove(p);
    if (before != null) {
      before.shares().left(before.workspace());
    }
  }

  /** Returns the start tags of the waiting calls of a ranked service. */
  FairShares<Optional<WorkspaceName>>.Tags tags(ServiceName service) {
    return of(service).tags();
  }

  /** Records that units were granted to a call; ignored in services that are not ranked. */
  void granted(RelayConfiguration configuration, PendingReservation p, long units) {
    if (configuration.ranks().isRanked(p.service())) {
      of(p.service()).granted(p.workspace(), units);
    } else {
      byService.remove(p.service());
    }
  }

  /** Makes all workspaces equal if another mode begins, as the queue is then another one. */
  void setMode(ReservationMode newMode) {
    if (newMode != mode) {
      byService.clear();
      joined.clear();
    }
    mode = newMode;
  }

  private FairShares<Optional<WorkspaceName>> of(ServiceName service) {
    return byService.computeIfAbsent(service, s -> new FairShares<>());
  }
}
