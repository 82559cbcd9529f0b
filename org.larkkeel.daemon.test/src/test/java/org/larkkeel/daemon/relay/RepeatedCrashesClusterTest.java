/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.lib.UpstreamName;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against failures in which requests with one part in common were sent to engines long after
 * five had ended: the routers' own retries hid the part, or the engines ended after the first event
 * of a stream.
 */
public class RepeatedCrashesClusterTest {
  private static final int ENGINES = 13;
  private static final int COORDINATOR_FROM = 20;
  private static final long START_MILLIS = 6_000;
  private static final long STORM_MILLIS = 25_000;
  private static final String SYSTEM = "system";
  private static final String DEADLY = "deadly";

  /** The promise counts from this crash on. */
  private static final int COUNTED_CRASHES = 5;

  private static final int MAX_SENDS = 3;
  private static final long PROPAGATION_NANOS = 3_000 * SimCluster.NANOS_PER_MILLI;

  /**
   * Sends requests with the deadly part, a few at a time, beside sound ones; each sound stream has
   * one of some documents, or one of its own.
   */
  private static SimCluster storm(
      int nodes, long seed, int runs, int burst, long periodMillis, SimCrashTime time) {
    SimCluster cluster = new SimCluster(nodes, ENGINES, COORDINATOR_FROM, seed);
    cluster.resumableStreams(2, runs);
    cluster.advance(START_MILLIS);
    cluster.crashTime = time;
    cluster.deadlyParts.add(DEADLY);
    deadlyRequests(cluster, burst, periodMillis, SYSTEM, DEADLY);
    soundRequests(cluster, 250);
    return cluster;
  }

  private static void deadlyRequests(
      SimCluster cluster, int burst, long periodMillis, String... parts) {
    for (long at = 0; at < STORM_MILLIS; at += periodMillis) {
      for (int i = 0; i < burst; i++) {
        cluster.after(at, () -> cluster.submitPrompt(parts));
      }
    }
  }

  private static void soundRequests(SimCluster cluster, int requests) {
    cluster.loadPrompts(
        requests,
        STORM_MILLIS,
        () -> {
          int document = cluster.random.nextInt(12);
          return document < 6
              ? new String[] {SYSTEM, "document-" + document}
              : new String[] {SYSTEM, "new-" + cluster.random.nextInt(1_000)};
        });
  }

  private static void assertFewSends(SimCluster cluster) {
    int crashes = cluster.crashes.size();
    assertTrue(crashes > 1, crashes + " crashes");
    if (crashes < COUNTED_CRASHES) {
      return;
    }
    long from = cluster.crashes.get(COUNTED_CRASHES - 1) + PROPAGATION_NANOS;
    long sends = cluster.crashingSends.stream().filter(at -> at > from).count();
    assertTrue(sends <= MAX_SENDS, sends + " sends, " + crashes + " crashes");
  }

  private static void assertNoneQuarantined(SimCluster cluster) {
    assertEquals(cluster.refusals.getOrDefault(ErrorKind.QUARANTINED, 0), Integer.valueOf(0));
  }

  /** Returns numbers of nodes, seeds, runs of a call, requests at a time and their period. */
  @DataProvider
  public static Object[][] storms() {
    return new Object[][] {
      {7, 1, 3, 3, 900},
      {7, 2, 3, 1, 900},
      {7, 3, 2, 3, 900},
      {7, 4, 5, 3, 900},
      {4, 5, 3, 3, 900},
      {12, 6, 4, 2, 400},
      {40, 7, 3, 3, 900},
      {7, 8, 1, 1, 400},
    };
  }

  /** Engines that end before the first event. */
  public static class BeforeFirstEvent {
    @Test(dataProvider = "storms", dataProviderClass = RepeatedCrashesClusterTest.class)
    public void fewAreSentAfterFiveCrashes(
        int nodes, long seed, int runs, int burst, long periodMillis) {
      SimCluster cluster = storm(nodes, seed, runs, burst, periodMillis, SimCrashTime.before(30));
      assertFewSends(cluster);
      assertNoneQuarantined(cluster);
    }

    @Test(dataProvider = "storms", dataProviderClass = RepeatedCrashesClusterTest.class)
    public void fewAreSentAfterFiveLateCrashes(
        int nodes, long seed, int runs, int burst, long periodMillis) {
      SimCluster cluster =
          storm(nodes, seed + 100, runs, burst, periodMillis, SimCrashTime.before(450));
      assertFewSends(cluster);
      assertNoneQuarantined(cluster);
    }
  }

  /** Engines that end after the first event. */
  public static class AfterFirstEvent {
    @Test(dataProvider = "storms", dataProviderClass = RepeatedCrashesClusterTest.class)
    public void fewAreSentAfterFiveCrashes(
        int nodes, long seed, int runs, int burst, long periodMillis) {
      SimCluster cluster =
          storm(nodes, seed + 200, runs, burst, periodMillis, SimCrashTime.after(100, 1));
      assertFewSends(cluster);
      assertNoneQuarantined(cluster);
    }

    @Test(dataProvider = "storms", dataProviderClass = RepeatedCrashesClusterTest.class)
    public void fewAreSentAfterFiveCrashesAfterSomeEvents(
        int nodes, long seed, int runs, int burst, long periodMillis) {
      SimCluster cluster =
          storm(nodes, seed + 300, runs, burst, periodMillis, SimCrashTime.after(100, 160));
      assertFewSends(cluster);
      assertNoneQuarantined(cluster);
    }
  }

  /** Storms whose shape is drawn from their seeds. */
  public static class Drawn {
    /** The first seed and the number of storms; others can be drawn by hand. */
    private static final int FIRST = Integer.getInteger("larkkeel.test.firstStorm", 1_000);

    private static final int STORMS = Integer.getInteger("larkkeel.test.storms", 24);

    /** Returns the seeds. */
    @DataProvider
    public Object[][] seeds() {
      return IntStream.range(FIRST, FIRST + STORMS)
          .mapToObj(seed -> new Object[] {seed})
          .toArray(Object[][]::new);
    }

    private static SimCrashTime crashTime(SplittableRandom random) {
      return random.nextBoolean()
          ? SimCrashTime.before(random.nextLong(10, 600))
          : SimCrashTime.after(random.nextLong(20, 300), random.nextLong(1, 350));
    }

    private static void crashSome(SimCluster cluster, SplittableRandom random) {
      for (int i = 0; i < 10; i++) {
        UpstreamName engine = new UpstreamName("engine-" + random.nextInt(ENGINES));
        cluster.after(random.nextLong(1, STORM_MILLIS), () -> cluster.crash(engine, 1_500));
      }
    }

    @Test(dataProvider = "seeds")
    public void endWithFewSendsAndRefuseNoOthers(int seed) {
      SplittableRandom random = new SplittableRandom(seed);
      SimCluster cluster =
          new SimCluster(random.nextInt(4, 13), ENGINES, COORDINATOR_FROM, random.nextLong());
      cluster.resumableStreams(2, random.nextInt(1, 6));
      cluster.advance(START_MILLIS);
      cluster.crashTime = crashTime(random);
      cluster.deadlyParts.add(DEADLY);
      final String[] parts =
          switch (random.nextInt(3)) {
            case 0 -> new String[] {SYSTEM, DEADLY};
            case 1 -> new String[] {SYSTEM, DEADLY, "session"};
            default -> new String[] {SYSTEM, "document-0", DEADLY};
          };
      boolean crashesBeside = random.nextInt(3) == 0;
      if (crashesBeside) {
        crashSome(cluster, random);
      }
      if (random.nextInt(3) == 0) {
        cluster.setLossShare(random.nextDouble(0.3));
      }
      if (random.nextInt(3) == 0) {
        cluster.after(random.nextLong(1, STORM_MILLIS / 2), () -> cluster.restartNodes(700));
      }
      deadlyRequests(cluster, random.nextInt(1, 6), random.nextLong(200, 1_200), parts);
      soundRequests(cluster, random.nextInt(60, 400));
      if (!crashesBeside) {
        assertFewSends(cluster);
      }
      assertNoneQuarantined(cluster);
    }
  }
}
