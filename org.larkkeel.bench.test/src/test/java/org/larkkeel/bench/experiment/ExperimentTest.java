/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.larkkeel.bench.experiment.policy.RoutingPolicies;
import org.larkkeel.bench.experiment.scenario.Scenario;
import org.larkkeel.bench.experiment.scenario.ScenarioReader;
import org.testng.annotations.Test;

/** Tests of {@link Experiment} and its command. */
public class ExperimentTest {
  private static final Path FILE = Path.of("../org.larkkeel.bench/scenarios/many-faults.json");

  /** Reproducibility of runs. */
  public static class Runs {
    @Test
    public void dependOnTheSeedAlone() throws IOException {
      Scenario scenario =
          Overrides.apply(
              ScenarioReader.read(Files.readString(FILE), RoutingPolicies.names()::contains),
              "larkkeel,least-outstanding",
              "1.0",
              2);
      List<RunResult> one = new Experiment(scenario).runAll(1);
      assertEquals(new Experiment(scenario).runAll(2), one);
      assertNotEquals(one.get(0).good(), one.get(scenario.policies().size()).good());
      one.forEach(run -> assertTrue(run.violations().isEmpty(), run.toString()));
    }
  }

  /** Errors in the command line. */
  public static class Command {
    private static String run(int code, String... args) {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
      assertEquals(new ExperimentCommand(out).run(args), code);
      return bytes.toString(StandardCharsets.UTF_8);
    }

    @Test
    public void rejectsInvalidArguments() {
      assertTrue(run(2).contains("--scenario is missing"));
      assertTrue(run(2, "--scenario", "no-such-file").contains("no-such-file"));
      String policy = run(2, "--scenario", FILE.toString(), "--policies", "best");
      assertTrue(policy.contains("--policies has \"best\": use "), policy);
    }
  }
}
