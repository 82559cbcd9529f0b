/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.larkkeel.bench.experiment.scenario.ScenarioException;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link FleetModel} with whole fleets in virtual time. */
public class FleetModelTest {
  /** A load of half of the engines' memory, three times as high during a burst. */
  private static final String SCENARIO =
      """
      {
        "seconds": 8,
        "nodes": {"count": %d, "datagramMillis": 1, "datagramLoss": %s, "upstreamMillis": 1},
        "engines": {"prefill": 1, "decode": 2, "slots": 32, "memoryTokens": 30000,
          "stepMillis": 4, "stepMillisPerRequest": 0.02, "promptTokensPerMilli": 30,
          "chunkTokens": 1024, "handleMillis": 500, "tokensPerEvent": 9},
        "plain": {"count": 2, "workMillis": 30},
        "calls": [
          {"name": "stream", "perSecond": 3, "promptTokens": 3000, "outputTokens": 600,
           "targetMillis": 900, "gapMillis": 300, "deadlineMillis": 6000, "worth": 30,
           "worthLate": 6},
          {"name": "lookup", "perSecond": 40, "targetMillis": 300, "deadlineMillis": 3000},
        ],
        "bursts": [{"atSecond": 2, "seconds": 3, "times": 3}],
      }
      """;

  private static FleetResult run(int nodes, String loss, long seed) {
    return new FleetModel(FleetScenarioReader.read(SCENARIO.formatted(nodes, loss)), seed).run();
  }

  /** Consistency and reproducibility of results. */
  public static class Runs {
    @DataProvider
    static Object[][] fleets() {
      return new Object[][] {{3, "0"}, {20, "0"}, {20, "0.3"}};
    }

    /** {@link FleetModel#run} throws an exception if a call or a token has no outcome. */
    @Test(dataProvider = "fleets")
    public void haveOneOutcomeForEachCallAndToken(int nodes, String loss) {
      FleetResult result = run(nodes, loss, 1);
      for (FleetResult.Kind kind : result.kinds()) {
        int sum = kind.outcomes().values().stream().mapToInt(Integer::intValue).sum();
        assertEquals(sum, kind.calls());
        assertTrue(kind.calls() > 0, kind.name());
        assertTrue(kind.share(CallOutcome.IN_TIME) > 0, kind.toString());
      }
      assertTrue(result.prefilledTokens() > 50_000, result.toString());
      assertTrue(result.maxMemoryShare() > 0.6, "not full: " + result);
    }

    @Test
    public void areTheSameForTheSameSeed() {
      assertEquals(run(20, "0.1", 5), run(20, "0.1", 5));
    }

    @Test
    public void differBySeed() {
      assertNotEquals(run(20, "0.1", 5).kinds(), run(20, "0.1", 6).kinds());
    }

    @Test
    public void getTheSameCallsInEveryFleet() {
      List<Integer> few = run(3, "0", 4).kinds().stream().map(FleetResult.Kind::calls).toList();
      List<Integer> many = run(20, "0.3", 4).kinds().stream().map(FleetResult.Kind::calls).toList();
      assertEquals(few, many);
    }

    @Test
    public void doNotDependOnThreads() {
      FleetScenario scenario = FleetScenarioReader.read(SCENARIO.formatted(3, "0"));
      assertEquals(
          new FleetExperiment(scenario, 3).runAll(1), new FleetExperiment(scenario, 3).runAll(3));
    }
  }

  /** Requests that crash the engines that run them must not affect other calls. */
  public static class Crashes {
    private static final String CRASHING_CALLS =
        """
        {"name": "crash", "perSecond": 4, "promptTokens": 1000, "outputTokens": 100,
         "targetMillis": 900, "gapMillis": 300, "deadlineMillis": 6000, "worth": 0,
         "crashing": %d},
        ],
        "bursts"\
        """;
    private static final int CRASHES_UNTIL_QUARANTINE = 3;

    /** Attempts of a request that may be in transit when its third crash is reported. */
    private static final int MAX_ATTEMPTS_IN_TRANSIT = 1;

    @DataProvider
    static Object[][] fleets() {
      return new Object[][] {{8, "0", 1}, {8, "0.1", 2}, {20, "0", 1}, {20, "0.1", 2}};
    }

    private static FleetResult run(int nodes, String loss, int requests) {
      String text =
          SCENARIO
              .formatted(nodes, loss)
              .replace("\"decode\": 2", "\"decode\": 6")
              .replaceFirst("],\\s*\"bursts\"", CRASHING_CALLS.formatted(requests));
      return new FleetModel(FleetScenarioReader.read(text), 9).run();
    }

    @Test(dataProvider = "fleets")
    public void stopAfterTheThirdOfEachRequest(int nodes, String loss, int requests) {
      FleetResult result = run(nodes, loss, requests);
      int crashes = result.crashes();
      assertTrue(crashes >= CRASHES_UNTIL_QUARANTINE, crashes + " crashes");
      assertTrue(
          crashes <= requests * (CRASHES_UNTIL_QUARANTINE + MAX_ATTEMPTS_IN_TRANSIT),
          crashes + " crashes");
    }

    @Test(dataProvider = "fleets")
    public void causeNoRefusalOfOtherCalls(int nodes, String loss, int requests) {
      assertEquals(run(nodes, loss, requests).quarantined(), 0);
    }
  }

  /** Rate limits of plain upstreams hold over all nodes, also if a node is killed or suspended. */
  public static class Limits {
    private static final String LIMITS =
        """
        "plainLimits": [{"atSecond": 0.5, "seconds": 12, "count": 1, "perSecond": %s}],
        "nodeFaults": [%s],
        "bursts"\
        """;

    @DataProvider
    static Object[][] limits() {
      return new Object[][] {
        {3, "5.2", ""},
        {20, "5.2", ""},
        {20, "0.5", ""},
        {20, "5.2", "{\"kind\": \"killed\", \"atSecond\": 4, \"seconds\": 2}"},
        {20, "5.2", "{\"kind\": \"suspended\", \"atSecond\": 4, \"seconds\": 2}"}
      };
    }

    @Test(dataProvider = "limits")
    public void areKeptByAllNodesTogether(int nodes, String perSecond, String fault) {
      String text =
          SCENARIO
              .formatted(nodes, "0.02")
              .replace("\"seconds\": 8", "\"seconds\": 14")
              .replace("\"bursts\"", LIMITS.formatted(perSecond, fault));
      FleetResult result = new FleetModel(FleetScenarioReader.read(text), 3).run();
      assertTrue(result.maxLimitUsage() > 0, "the upstream received no requests");
      assertTrue(
          result.maxLimitUsage() <= 1,
          "received " + result.maxLimitUsage() + " of the allowed requests");
    }
  }

  /** Nodes that are killed, frozen or suspended. */
  public static class NodeFaults {
    private static final String KILLED = fault("killed", 0, 1);
    private static final String FROZEN = fault("frozen", 0, 1);
    private static final String SUSPENDED = fault("suspended", 0, 1);
    private static final String NONE = "";

    private static String fault(String kind, int first, int count) {
      String when = "\"atSecond\": 2.5, \"seconds\": 1.5";
      return "{\"kind\": \"%s\", %s, \"first\": %d, \"count\": %d},"
          .formatted(kind, when, first, count);
    }

    private static FleetResult run(int nodes, String faults, long seed) {
      String text =
          SCENARIO
              .formatted(nodes, "0.001")
              .replace("\"bursts\"", "\"nodeFaults\": [" + faults + "],\n\"bursts\"");
      return new FleetModel(FleetScenarioReader.read(text), seed).run();
    }

    private static int streams(FleetResult result, CallOutcome outcome) {
      return result.kinds().getFirst().outcomes().getOrDefault(outcome, 0);
    }

    @DataProvider
    static Object[][] faults() {
      return new Object[][] {
        {3, KILLED},
        {3, FROZEN},
        {20, KILLED},
        {20, FROZEN},
        {3, SUSPENDED},
        {20, SUSPENDED},
        {20, fault("suspended", 0, 20)},
        {20, SUSPENDED + fault("killed", 0, 2)},
        {20, fault("killed", 0, 20)},
        {20, fault("frozen", 0, 20)},
        {20, KILLED + KILLED + FROZEN},
        {20, FROZEN + fault("killed", 0, 2) + fault("frozen", 1, 3)},
        {3, fault("paths-dropped", 0, 2)},
        {20, fault("paths-dropped", 0, 8)},
        {20, fault("paths-reset", 0, 8) + fault("killed", 10, 3)},
        {20, fault("paths-refused", 0, 20)},
      };
    }

    /** {@link FleetModel#run} throws an exception if a call or a token has no outcome. */
    @Test(dataProvider = "faults")
    public void leaveNoCallAndNoTokenWithoutOutcome(int nodes, String faults) {
      FleetResult result = run(nodes, faults, 1);
      for (FleetResult.Kind kind : result.kinds()) {
        int sum = kind.outcomes().values().stream().mapToInt(Integer::intValue).sum();
        assertEquals(sum, kind.calls());
        assertTrue(kind.share(CallOutcome.IN_TIME) > 0, kind.toString());
      }
    }

    @Test(dataProvider = "faults")
    public void areTheSameForTheSameSeed(int nodes, String faults) {
      assertEquals(run(nodes, faults, 3), run(nodes, faults, 3));
    }

    @Test
    public void failTheStreamsOfKilledNodes() {
      assertEquals(streams(run(3, NONE, 1), CallOutcome.FAILED), 0);
      assertTrue(streams(run(3, fault("killed", 0, 3), 1), CallOutcome.FAILED) > 0);
    }

    /**
     * Kills the reservation coordinator, which is the first node by name. The load of three streams
     * a second takes half of the memory, so that the remaining nodes have capacity for all calls.
     */
    @Test
    public void ofTheCoordinatorDelayNoCallOfOtherNodes() {
      for (int seed = 1; seed <= 5; seed++) {
        FleetResult.Kind streams = runWithoutBurst(fault("killed", 0, 1), seed).kinds().getFirst();
        assertTrue(streams.calls() >= 10, streams.toString());
        assertEquals(streams.share(CallOutcome.LATE), 0.0, "seed " + seed + " " + streams);
        assertEquals(streams.share(CallOutcome.REFUSED), 0.0, "seed " + seed + " " + streams);
        int failed = streams.outcomes().getOrDefault(CallOutcome.FAILED, 0);
        assertTrue(failed <= 3, "seed " + seed + " " + streams);
      }
    }

    @DataProvider
    static Object[][] lostPaths() {
      return new Object[][] {{"paths-dropped"}, {"paths-reset"}, {"paths-refused"}};
    }

    /**
     * Nodes that lose their paths to upstreams must serve at least two thirds of the calls that
     * they serve otherwise, from 1 s after the begin: callers reach them as before.
     */
    @Test(dataProvider = "lostPaths")
    public void ofPathsToUpstreamsLeaveCallsServed(String kind) {
      String fault =
          "{\"kind\": \"%s\", \"atSecond\": 1, \"seconds\": 7, \"first\": 0, \"count\": 10},"
              .formatted(kind);
      for (int seed = 1; seed <= 3; seed++) {
        FleetResult lost = runWithoutBurst(fault, seed);
        double before = served(runWithoutBurst(NONE, seed));
        double now = served(lost);
        // Half of the nodes for seven of eight seconds, of which the first may be lost.
        double bound = before * (1 - 0.5 * (1.0 / 8 + 6.0 / 8 / 3));
        assertTrue(now >= bound, kind + " seed " + seed + ": " + now + " of " + before);
        assertEquals(lost.quarantined(), 0);
      }
    }

    private static double served(FleetResult result) {
      double share = 0;
      for (FleetResult.Kind kind : result.kinds()) {
        share += kind.share(CallOutcome.IN_TIME) + kind.share(CallOutcome.LATE);
      }
      return share / result.kinds().size();
    }

    private static FleetResult runWithoutBurst(String faults, long seed) {
      String text =
          SCENARIO
              .formatted(20, "0.001")
              .replace(
                  "\"bursts\": [{\"atSecond\": 2, \"seconds\": 3, \"times\": 3}]", "\"bursts\": []")
              .replace("\"bursts\"", "\"nodeFaults\": [" + faults + "],\n\"bursts\"");
      return new FleetModel(FleetScenarioReader.read(text), seed).run();
    }

    @Test
    public void onlyDelayCallsOfAnIdleNode() {
      String text =
          SCENARIO
              .formatted(2, "0")
              .replace("\"perSecond\": 3,", "\"perSecond\": 0,")
              .replace("\"bursts\"", "\"nodeFaults\": [" + FROZEN + "],\n\"bursts\"");
      FleetResult.Kind lookups =
          new FleetModel(FleetScenarioReader.read(text), 1).run().kinds().get(1);
      // One of two nodes is frozen for 1.5 of 8 s; callers wait for 3 s.
      assertEquals(lookups.share(CallOutcome.IN_TIME) + lookups.share(CallOutcome.LATE), 1.0);
      assertTrue(lookups.share(CallOutcome.LATE) > 0.02, lookups.toString());
    }
  }

  /** The scenarios shipped with the project. */
  public static class Shipped {
    @Test
    public void areValid() throws IOException {
      try (Stream<Path> files = Files.list(Path.of("../org.larkkeel.bench/scenarios/fleet"))) {
        List<Path> all = files.toList();
        assertTrue(all.size() >= 3, all.toString());
        for (Path file : all) {
          assertTrue(
              FleetScenarioReader.read(Files.readString(file)).seconds() > 0, file.toString());
        }
      }
    }
  }

  /** Invalid scenario files. */
  public static class BadInput {
    @DataProvider
    static Object[][] mistakes() {
      return new Object[][] {
        {"\"seconds\": 8", "\"seconds\": -1", "fleet.seconds is -1: write a number from 0.1"},
        {"\"count\": 3", "\"count\": 0", "fleet.nodes.count is 0: write a whole number from 1"},
        {"\"decode\": 2", "\"decodes\": 2", "fleet.engines.decodes is 2: no such field"},
        {"30000", "8000", "fleet.engines.memoryTokens is 8000: write 8641 or more"},
        {"\"perSecond\": 3,", "", "fleet.calls[0].perSecond is missing: add it"},
        {"{\"count\": 2, ", "{\"count\": 0, ", "fleet.plain.count is 0: write 1 or more"},
        {"\"bursts\"", "bursts", "fleet is not JSON with comments"},
        {
          "\"bursts\"",
          "\"nodeFaults\": [{\"kind\": \"tired\", \"atSecond\": 1, \"seconds\": 1}], \"bursts\"",
          "fleet.nodeFaults[0].kind is \"tired\": write one of killed, frozen"
        },
        {
          "\"bursts\"",
          "\"nodeFaults\": [{\"kind\": \"killed\", \"atSecond\": 1, \"seconds\": 1, \"count\": 4}],"
              + " \"bursts\"",
          "fleet.nodeFaults.count is 4: write 3 or less"
        },
      };
    }

    @Test(dataProvider = "mistakes")
    public void isReportedWithFieldValueAndRemedy(String right, String wrong, String message) {
      String text = SCENARIO.formatted(3, "0");
      assertTrue(text.contains(right), right);
      ScenarioException e =
          Assert.expectThrows(
              ScenarioException.class, () -> FleetScenarioReader.read(text.replace(right, wrong)));
      assertTrue(e.getMessage().startsWith(message), e.getMessage());
    }
  }
}
