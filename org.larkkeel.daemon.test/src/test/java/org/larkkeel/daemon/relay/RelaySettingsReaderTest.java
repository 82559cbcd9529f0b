/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.larkkeel.config.Checked;
import org.testng.annotations.Test;

/** Tests of {@link RelaySettingsReader}. */
public class RelaySettingsReaderTest {
  private static final String GOOD =
      """
      {
        // Comments and trailing commas are allowed.
        "host": "node-1", "dataCentre": "dc-1",
        "listeners": {"caller": "127.0.0.1:1", "readiness": "127.0.0.1:2",
          "metrics": "127.0.0.1:3", "peer": "127.0.0.1:4"},
        "seeds": "127.0.0.2:9,127.0.0.3:9",
        "store": {"address": "127.0.0.1:5"},
        "repeats": {"share": "0.2", "slack": "56", "windowSeconds": "10", "nodes": 12},
        "stop": {"graceSeconds": "8"},
      }
      """;

  private static String problems(String text) {
    return RelaySettingsReader.read("test", text).problems().toString();
  }

  /** Valid settings. */
  public static class Valid {
    @Test
    public void readsEveryField() {
      if (!(RelaySettingsReader.read("test", GOOD) instanceof Checked.Valid<RelayNodeSettings> v)) {
        throw new AssertionError(problems(GOOD));
      }
      RelayNodeSettings s = v.value();
      assertEquals(s.host().value(), "node-1");
      assertEquals(s.callers().getPort(), 1);
      assertEquals(s.peer().getPort(), 4);
      assertEquals(s.seeds().size(), 2);
      assertEquals(s.store().toString(), "http://127.0.0.1:5");
      assertEquals(s.router().repeatShare(), 0.2);
      assertEquals(s.router().windowNanos(), Duration.ofSeconds(10).toNanos());
      assertEquals(s.graceTime(), Duration.ofSeconds(8));
    }

    /**
     * Nodes receive the removal of an upstream late, so they must use it for less than the
     * configured time.
     */
    @Test
    public void subtractsTheRemovalDelayFromTheMissingTime() {
      RelayNodeSettings s = RelaySettingsReader.read("test", GOOD).orThrow();
      assertEquals(s.router().missingNanos(), Duration.ofMillis(1_200).toNanos());
    }

    @Test
    public void acceptsEmptySeeds() {
      Checked<RelayNodeSettings> read =
          RelaySettingsReader.read("test", GOOD.replace("127.0.0.2:9,127.0.0.3:9", ""));
      assertEquals(read.orThrow().seeds().size(), 0);
    }
  }

  /** Invalid settings: the message names the field, its value and what to do. */
  public static class Invalid {
    @Test
    public void namesMissingField() {
      String problems = problems(GOOD.replace("\"host\": \"node-1\",", ""));
      assertTrue(problems.contains("/host"), problems);
    }

    @Test
    public void namesBadAddress() {
      String problems = problems(GOOD.replace("127.0.0.1:5", "nowhere"));
      assertTrue(problems.contains("/store/address"), problems);
      assertTrue(problems.contains("nowhere"), problems);
      assertTrue(problems.contains("write an IP number and a port"), problems);
    }

    @Test
    public void namesBadNumber() {
      String problems = problems(GOOD.replace("\"56\"", "\"-1\""));
      assertTrue(problems.contains("/repeats/slack"), problems);
      assertTrue(problems.contains("-1"), problems);
    }

    @Test
    public void namesUnknownField() {
      String problems = problems(GOOD.replace("\"seeds\"", "\"sedes\""));
      assertTrue(problems.contains("sedes"), problems);
    }
  }
}
