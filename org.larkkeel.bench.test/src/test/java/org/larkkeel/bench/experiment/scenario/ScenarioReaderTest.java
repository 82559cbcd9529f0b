/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.scenario;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.larkkeel.bench.experiment.policy.RoutingPolicies;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ScenarioReader}. */
public class ScenarioReaderTest {
  private static final Path SHIPPED = Path.of("../org.larkkeel.bench/scenarios");

  private static String readTejemanosFile() throws IOException {
    return Files.readString(SHIPPED.resolve("tejemanos.json"));
  }

  private static Scenario read(String text) {
    return ScenarioReader.read(text, RoutingPolicies.names()::contains);
  }

  /** The scenario files shipped with the product. */
  public static class Shipped {
    @Test
    public void areValid() throws IOException {
      try (Stream<Path> files = Files.list(SHIPPED)) {
        List<Path> all = files.filter(f -> f.toString().endsWith(".json")).toList();
        assertFalse(all.isEmpty());
        for (Path file : all) {
          Scenario scenario = read(Files.readString(file));
          assertEquals(scenario.name() + ".json", file.getFileName().toString());
        }
      }
    }
  }

  /** Mistakes in a file. */
  public static class Mistakes {
    /** A piece of the file, its replacement, and the expected part of the message. */
    @DataProvider
    public Object[][] mistakes() {
      return new Object[][] {
        {"\"seeds\":", "\"sseds\":", "scenario.seeds is missing: add it"},
        {"\"durationSeconds\": 120", "\"durationSeconds\": -1", "scenario.durationSeconds is -1"},
        {"\"random\"", "\"random-naive\"", "scenario.policies is \"random-naive\": write names of"},
        {"\"slots\": 20", "\"slot\": 20", "scenario.upstreams[2].slot is 20: no such field"},
        {"\"share\": 0.6", "\"share\": 0.5", "add up to 0.9"},
        {
          "\"urgency\": \"patient\"", "\"urgency\": \"urgent\"", "write one of interactive, patient"
        },
        {
          "\"median\": 8500",
          "\"median\": \"x\"",
          "scenario.classes[0].promptTokens.median is \"x\""
        },
        {
          "\"telar-prefill-old\"",
          "\"telar-prefill-new\"",
          "has the name \"telar-prefill-new\" twice"
        },
        {"\"classes\": [", "\"classes\": {", "not JSON with comments"},
      };
    }

    @Test(dataProvider = "mistakes")
    public void areReportedWithFieldAndRemedy(String right, String wrong, String message)
        throws IOException {
      String text = readTejemanosFile();
      String broken = text.replaceFirst(Pattern.quote(right), wrong);
      assertFalse(broken.equals(text), "the file does not contain " + right);
      ScenarioException e = expectThrows(ScenarioException.class, () -> read(broken));
      assertTrue(e.getMessage().contains(message), e.getMessage());
    }
  }
}
