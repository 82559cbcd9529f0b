/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.stream.IntStream;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.RequestId;
import org.testng.annotations.Test;

/**
 * Tests of the work that reports of other nodes make for the reservation coordinator.
 *
 * <p>Guards against a coordinator that goes over all pending calls twice for each report: with many
 * nodes and calls its processor was full, and it answered neither callers nor the store.
 */
public class CoordinatorLoadTest {
  private static final int NODES = 86;
  private static final int CALLS_OF_NODE = 5;

  /** A pass that places a call may be followed by one that places no more. */
  private static final int MAX_PASSES = 2;

  private static NodeReport report(int node) {
    ImmutableList.Builder<ReservationRequest> requests = ImmutableList.builder();
    for (int i = 0; i < CALLS_OF_NODE; i++) {
      long call = 10_000L * (node + 1) + i;
      requests.add(
          new ReservationRequest(
              new RequestId(call),
              "call-" + call,
              RelayWorld.MODEL,
              3_000,
              0,
              true,
              false,
              0,
              900,
              PromptKey.NONE,
              ImmutableSet.of()));
    }
    return new NodeReport(
        new HostName("node-" + node),
        RelayWorld.HERE,
        ImmutableMap.of(),
        ImmutableSet.of(),
        Optional.of(requests.build()));
  }

  /** Reports of all nodes that arrive together while calls wait. */
  public static class Reports {
    /** Guards against passes over the queue in proportion to the number of reports. */
    @Test
    public void shareTheirPassesOverTheQueue() {
      RelayWorld w = RelayWorld.withDefaults();
      w.apply(new RelayEvent.KeepingChanged(w.now(), ReservationMode.KEEP));
      ImmutableList<NodeReport> reports =
          IntStream.range(0, NODES)
              .mapToObj(CoordinatorLoadTest::report)
              .collect(ImmutableList.toImmutableList());
      w.apply(new RelayEvent.ReportsHeard(w.now(), reports));
      assertFalse(w.of(RelayEffect.GrantReservation.class).isEmpty());
      long before = w.router.placementPasses();
      w.apply(new RelayEvent.ReportsHeard(w.now(), reports));
      long passes = w.router.placementPasses() - before;
      assertTrue(passes <= MAX_PASSES, passes + " passes");
    }
  }
}
