/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.io.Resources;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.larkkeel.config.Checked;
import org.larkkeel.config.Problem;
import org.larkkeel.config.Problems;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link SettingsReader}. */
public class SettingsReaderTest {
  private static final String FILE = "node.json";
  private static final String REQUIRED_MEMBERS =
      """
      "host": "entry-1", "dataCentre": "dc-1", "platform": {"url": "http://127.0.0.1:9000"}
      """;

  private static Checked<Settings> read(String members) {
    return SettingsReader.read(FILE, "{" + REQUIRED_MEMBERS.strip() + members + "\n}");
  }

  /** The defaults that {@code --print-default-config} prints. */
  public static class Defaults {
    @Test
    public void printedDefaultsEqualOmittedSettings() throws IOException {
      String printed =
          Resources.toString(
              Resources.getResource(Settings.class, "default-settings.json"),
              StandardCharsets.UTF_8);
      assertEquals(SettingsReader.read(FILE, printed), read(""));
    }
  }

  /** Invalid settings files. */
  public static class InvalidFiles {
    @DataProvider
    static Object[][] faults() {
      return new Object[][] {
        {", \"hots\": 1", "node.json:1:89: error: /hots: the key is unknown"},
        {", \"limits\": {\"ioThreads\": 65}", "/limits/ioThreads = 65: out of range; use 1 to 64"},
        {
          ", \"limits\": {\"ioThreads\": \"2\"}", "/limits/ioThreads = \"2\": the value is a string"
        },
        {", \"limits\": {\"queuedEvents\": 1000}", "not a power of 2; use a power of 2"},
        {
          ", \"listeners\": {\"caller\": {\"address\": \"host:80\"}}",
          "write an IP number and a port"
        },
        {", \"listeners\": {\"peer\": {\"address\": \"0.0.0.0:1\"}}", "can not reach a wildcard"},
        {", \"listeners\": {\"caller\": {\"key\": \"k.pem\"}}", "/listeners/caller/certificate"},
        {
          ", \"listeners\": {\"peer\": {\"key\": \"k\", \"certificate\": \"c\"}}",
          "/listeners/peer/authority"
        },
        {", \"operators\": {\"ana\": {\"tokenSha256\": \"secret\"}}", "64 hex digits"},
        {", \"operators\": {\"ana\": {}}", "/operators/ana/tokenSha256: the key is missing"},
        {", \"router\": {\"policy\": \"best\"}", "use one of larkkeel, "},
        {", \"logLevel\": \"loud\"", "use one of error, warn, info, debug"},
        {", \"incarnation\": -1", "/incarnation = -1: out of range"},
        {", \"platform\": 1", "the name stands already in line 1"},
        {", oops", "not valid JSON"},
      };
    }

    @Test(dataProvider = "faults")
    public void eachIsReportedWithPathAndRemedy(String members, String expected) {
      Problems problems = read(members).problems();
      assertTrue(problems.hasErrors(), members);
      assertTrue(problems.toString().contains(expected), problems.toString());
    }

    @Test
    public void allAreReportedTogether() {
      String text =
          """
          {
            "dataCentre": 5,
            "platform": {"url": "nope", "timeoutMillis": 0},
            "limits": {"maxBodyBytes": "2MB"},
          }
          """;
      Problems problems = SettingsReader.read(FILE, text).problems();
      assertEquals(
          problems.all().stream().map(p -> p.path().toString()).sorted().toList(),
          java.util.List.of(
              "/dataCentre",
              "/host",
              "/limits/maxBodyBytes",
              "/platform/timeoutMillis",
              "/platform/url"));
      assertTrue(problems.all().stream().map(Problem::position).allMatch(p -> p.line() > 0));
    }
  }

  /** Secrets must not appear in the text form of settings. */
  public static class Secrets {
    @Test
    public void digestsOfTokensAreNotShown() {
      String digest = "0123456789abcdef".repeat(4);
      Settings settings =
          read(", \"operators\": {\"ana\": {\"tokenSha256\": \"" + digest + "\"}}").orThrow();
      assertEquals(settings.operators().getFirst().tokenSha256(), digest);
      assertFalse(settings.toString().contains(digest));
    }
  }
}
