/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Upstreams that name the requests a second that they take of all nodes together.
 *
 * <p>The promise: within 4 s, from 3 s after the first answer that named the limit, one and a half
 * times what it allows and five requests, of the nodes that were told.
 */
public class RateLimitFleetTest {
  private static final long SECOND = 1_000 * SimFleet.MILLI;
  private static final long WINDOW = 4 * SECOND;
  private static final int KEEPER_FROM = 16;

  /** Calls a second, which the upstreams without a limit have room for. */
  private static final int CALLS_PER_SECOND = 40;

  private static final double[] RATES = {5.2, 0.5, 30};

  private static SimFleet fleet(int nodes, long seed) {
    SimFleet fleet = new SimFleet(nodes, 4, KEEPER_FROM, seed);
    fleet.pass(4_000);
    fleet.loadPlain(2 * CALLS_PER_SECOND, 2_000);
    return fleet;
  }

  private static void load(SimFleet fleet, int seconds) {
    fleet.loadPlain(seconds * CALLS_PER_SECOND, seconds * 1_000L);
  }

  private static double promised(double rate) {
    return 1.5 * 4 * rate + 5;
  }

  /** Asserts the promise, with what the nodes got that were told of it by others. */
  private static void assertHeld(SimFleet fleet, int app, double rate, long since) {
    int got = fleet.app(app).mostArrived(since + 3 * SECOND, WINDOW);
    assertTrue(got <= promised(rate), got + " in 4 s at " + rate + " a second");
  }

  /** Sizes of fleets, limits. */
  @DataProvider
  public static Object[][] fleets() {
    return new Object[][] {
      {8, 5.2}, {8, 0.5}, {8, 30.0}, {60, 5.2}, {60, 0.5}, {60, 30.0}, {150, 5.2}, {150, 0.5}
    };
  }

  /** The sum over all nodes. */
  public static class Sum extends RateLimitFleetTest {
    @Test(dataProvider = "fleets")
    public void isWithinThePromise(int nodes, double rate) {
      SimFleet fleet = fleet(nodes, 1);
      fleet.app(0).limit(rate);
      long since = fleet.now();
      load(fleet, 12);
      assertHeld(fleet, 0, rate, since);
    }

    @Test(dataProvider = "fleets")
    public void isNearlyTheLimitIfThatIsWanted(int nodes, double rate) {
      SimFleet fleet = fleet(nodes, 2);
      for (int i = 0; i < 4; i++) {
        fleet.app(i).limit(rate);
      }
      fleet.pass(100);
      load(fleet, 4);
      long since = fleet.now();
      load(fleet, 20);
      double wanted = Math.min(4 * rate, CALLS_PER_SECOND) * 20;
      int got = 0;
      for (int i = 0; i < 4; i++) {
        got += fleet.app(i).arrivedSince(since);
      }
      assertTrue(got >= 0.75 * wanted, got + " of " + wanted);
    }

    /** Seeds of schedules. */
    @DataProvider
    public static Object[][] schedules() {
      return new Object[][] {{8, 11}, {8, 12}, {8, 13}, {60, 14}, {60, 15}};
    }

    @Test(dataProvider = "schedules")
    public void isWithinThePromiseBesideFaults(int nodes, long seed) {
      for (double rate : RATES) {
        SimFleet fleet = fleet(nodes, seed);
        fleet.lose(0.025);
        fleet.app(0).limit(rate);
        long since = fleet.now();
        for (int i = 0; i < 8; i++) {
          fault(fleet);
          load(fleet, 2);
        }
        int got = fleet.app(0).mostArrivedOfTold(since + 3 * SECOND, WINDOW);
        assertTrue(got <= promised(rate), got + " in 4 s at " + rate + ", seed " + seed);
      }
    }

    /** Cuts a third of the nodes off, suspends one, or ends the coordinator. */
    private static void fault(SimFleet fleet) {
      int from = fleet.random.nextInt(fleet.nodes.size() * 2 / 3);
      List<SimFleet.Node> third = fleet.nodes.subList(from, from + fleet.nodes.size() / 3);
      switch (fleet.random.nextInt(3)) {
        case 0 -> fleet.cut(third, 500 + fleet.random.nextInt(3_000));
        case 1 -> third.getFirst().suspend(500 + fleet.random.nextInt(3_000));
        default -> fleet.cut(List.of(fleet.nodes.getFirst()), 2_500);
      }
    }
  }

  /** The end of a limit, and other limits. */
  public static class Change extends RateLimitFleetTest {
    @Test(dataProvider = "fleets")
    public void ofTheLimitToNoneIsKnownSoon(int nodes, double rate) {
      SimFleet fleet = fleet(nodes, 3);
      fleet.app(0).limit(rate);
      load(fleet, 8);
      fleet.app(0).lift();
      load(fleet, 6);
      long since = fleet.now();
      load(fleet, 4);
      int got = fleet.app(0).arrivedSince(since);
      assertTrue(got >= CALLS_PER_SECOND / 2, got + " of " + 4 * CALLS_PER_SECOND + " calls");
    }

    @Test
    public void toLowerOneBindsAndToHigherOneFrees() {
      SimFleet fleet = fleet(8, 4);
      fleet.app(0).limit(8);
      load(fleet, 6);
      fleet.app(0).limit(1);
      long lowered = fleet.now();
      load(fleet, 10);
      assertHeld(fleet, 0, 1, lowered);
      for (int i = 1; i < 4; i++) {
        fleet.app(i).limit(1);
      }
      fleet.app(0).limit(20);
      load(fleet, 4);
      long raised = fleet.now();
      load(fleet, 4);
      int got = fleet.app(0).arrivedSince(raised);
      assertTrue(got >= 0.75 * 4 * 20, got + " in 4 s at 20 a second");
    }
  }
}
