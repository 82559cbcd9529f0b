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

/** Whole fleets in virtual time. */
public class FleetModelTest {
  /** Half as many streams as memory holds, and three times as many for a while. */
  private static final String FULL =
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
    return new FleetModel(FleetScenarioReader.read(FULL.formatted(nodes, loss)), seed).run();
  }

  /** What a run says of itself. */
  public static class Runs {
    @DataProvider
    static Object[][] fleets() {
      return new Object[][] {{3, "0"}, {20, "0"}, {20, "0.3"}};
    }

    /** {@link FleetModel#run} fails by itself if a call or a token has no outcome. */
    @Test(dataProvider = "fleets")
    public void haveOneOutcomeForEachCallAndToken(int nodes, String loss) {
      FleetResult result = run(nodes, loss, 1);
      for (FleetResult.Kind kind : result.kinds()) {
        int sum = kind.outcomes().values().stream().mapToInt(Integer::intValue).sum();
        assertEquals(sum, kind.calls());
        assertTrue(kind.calls() > 0, kind.name());
        assertTrue(kind.share(CallOutcome.IN_TIME) > 0, kind.toString());
      }
      assertTrue(result.tokensRead() > 50_000, result.toString());
      assertTrue(result.fullest() > 0.6, "not full: " + result);
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
    public void getTheSameCallsWhateverTheFleet() {
      List<Integer> few = run(3, "0", 4).kinds().stream().map(FleetResult.Kind::calls).toList();
      List<Integer> many = run(20, "0.3", 4).kinds().stream().map(FleetResult.Kind::calls).toList();
      assertEquals(few, many);
    }

    @Test
    public void doNotDependOnThreads() {
      FleetScenario scenario = FleetScenarioReader.read(FULL.formatted(3, "0"));
      assertEquals(
          new FleetExperiment(scenario, 3).call(1), new FleetExperiment(scenario, 3).call(3));
    }
  }

  /** Requests that crash the engines that run them, beside the calls of others. */
  public static class Crashes {
    private static final String KIND =
        """
        {"name": "crash", "perSecond": 4, "promptTokens": 1000, "outputTokens": 100,
         "targetMillis": 900, "gapMillis": 300, "deadlineMillis": 6000, "worth": 0,
         "crashing": %d},
        ],
        "bursts"\
        """;
    private static final int ENDS = 3;

    /** Sends of a request that may be under way when its third end is told. */
    private static final int UNDER_WAY = 1;

    @DataProvider
    static Object[][] fleets() {
      return new Object[][] {{8, "0", 1}, {8, "0.1", 2}, {20, "0", 1}, {20, "0.1", 2}};
    }

    private static FleetResult run(int nodes, String loss, int requests) {
      String text =
          FULL.formatted(nodes, loss)
              .replace("\"decode\": 2", "\"decode\": 6")
              .replaceFirst("],\\s*\"bursts\"", KIND.formatted(requests));
      return new FleetModel(FleetScenarioReader.read(text), 9).run();
    }

    @Test(dataProvider = "fleets")
    public void endWithTheThirdOfEachRequest(int nodes, String loss, int requests) {
      FleetResult result = run(nodes, loss, requests);
      int crashes = result.crashes();
      assertTrue(crashes >= ENDS, crashes + " crashes");
      assertTrue(crashes <= requests * (ENDS + UNDER_WAY), crashes + " crashes");
    }

    @Test(dataProvider = "fleets")
    public void turnNoOtherCallAway(int nodes, String loss, int requests) {
      assertEquals(run(nodes, loss, requests).quarantined(), 0);
    }
  }

  /** Plain upstreams that name limits, beside nodes that are killed or suspended. */
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
          FULL.formatted(nodes, "0.02")
              .replace("\"seconds\": 8", "\"seconds\": 14")
              .replace("\"bursts\"", LIMITS.formatted(perSecond, fault));
      FleetResult result = new FleetModel(FleetScenarioReader.read(text), 3).run();
      assertTrue(result.limitUse() > 0, "the upstream is never used");
      assertTrue(result.limitUse() <= 1, "used " + result.limitUse() + " of what is promised");
    }
  }

  /** Nodes whose processes end, or stand still. */
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
          FULL.formatted(nodes, "0.001")
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
      };
    }

    /** {@link FleetModel#run} fails by itself if a call or a token has no outcome. */
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
    public void failTheStreamsOfProcessesThatEnd() {
      assertEquals(streams(run(3, NONE, 1), CallOutcome.FAILED), 0);
      assertTrue(streams(run(3, fault("killed", 0, 3), 1), CallOutcome.FAILED) > 0);
    }

    /**
     * The first node by name sets memory aside for the calls of all. Load: three streams a second,
     * which take half of the memory, so that the nodes that are left would have room for all.
     */
    @Test
    public void ofTheAllocatorMakeNoCallOfAnotherLate() {
      for (int seed = 1; seed <= 5; seed++) {
        FleetResult.Kind streams = calm(fault("killed", 0, 1), seed).kinds().getFirst();
        assertTrue(streams.calls() >= 10, streams.toString());
        assertEquals(streams.share(CallOutcome.LATE), 0.0, "seed " + seed + " " + streams);
        assertEquals(streams.share(CallOutcome.REFUSED), 0.0, "seed " + seed + " " + streams);
        int own = streams.outcomes().getOrDefault(CallOutcome.FAILED, 0);
        assertTrue(own <= 3, "seed " + seed + " " + streams);
      }
    }

    private static FleetResult calm(String faults, long seed) {
      String text =
          FULL.formatted(20, "0.001")
              .replace(
                  "\"bursts\": [{\"atSecond\": 2, \"seconds\": 3, \"times\": 3}]", "\"bursts\": []")
              .replace("\"bursts\"", "\"nodeFaults\": [" + faults + "],\n\"bursts\"");
      return new FleetModel(FleetScenarioReader.read(text), seed).run();
    }

    @Test
    public void onlyDelayWhatAnIdleNodeHas() {
      String text =
          FULL.formatted(2, "0")
              .replace("\"perSecond\": 3,", "\"perSecond\": 0,")
              .replace("\"bursts\"", "\"nodeFaults\": [" + FROZEN + "],\n\"bursts\"");
      FleetResult.Kind lookups =
          new FleetModel(FleetScenarioReader.read(text), 1).run().kinds().get(1);
      // One of two nodes stands still for 1.5 of 8 s; callers wait for 3 s.
      assertEquals(lookups.share(CallOutcome.IN_TIME) + lookups.share(CallOutcome.LATE), 1.0);
      assertTrue(lookups.share(CallOutcome.LATE) > 0.02, lookups.toString());
    }
  }

  /** The scenarios that come with the project. */
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

  /** Files that are not valid. */
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
    public void isToldWithFieldValueAndRemedy(String right, String wrong, String message) {
      String text = FULL.formatted(3, "0");
      assertTrue(text.contains(right), right);
      ScenarioException e =
          Assert.expectThrows(
              ScenarioException.class, () -> FleetScenarioReader.read(text.replace(right, wrong)));
      assertTrue(e.getMessage().startsWith(message), e.getMessage());
    }
  }
}
