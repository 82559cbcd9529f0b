/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.RuleName;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ConfigurationDocument}. */
public class ConfigurationDocumentTest {
  private static final Path EXAMPLE = Path.of("..", "docs", "examples", "first.jsonc");

  private ConfigurationDocumentTest() {}

  private static Problems problems(String text) {
    return ConfigurationDocument.read("f", text).problems();
  }

  /** Valid documents. */
  public static class Valid {
    @Test
    public void exampleIsAcceptedWithoutWarnings() throws IOException {
      Checked<Configuration> read =
          ConfigurationDocument.read("first.jsonc", Files.readString(EXAMPLE));
      assertEquals(read.problems(), Problems.NONE);
      assertEquals(read.orThrow().upstreams().size(), 4);
      Rule orders = read.orThrow().rules().get(new RuleName("orders"));
      assertEquals(orders.repeatability(), Repeatability.NON_IDEMPOTENT);
      assertEquals(orders.targets(), Targets.DEFAULT);
    }

    @Test
    public void canonicalTextReadsBackEqual() throws IOException {
      Configuration first =
          ConfigurationDocument.read("f", Files.readString(EXAMPLE))
              .orThrow()
              .withRevision(new Revision(7));
      String text = ConfigurationDocument.write(first);
      Configuration again = ConfigurationDocument.read("f", text).orThrow();
      assertEquals(again, first);
      assertEquals(ConfigurationDocument.write(again), text);
    }

    @Test
    public void selectorsWithoutMatchAreWarnings() {
      Checked<Configuration> read =
          ConfigurationDocument.read(
              "f",
              """
              {"pools": {"p": {"role": "decode", "upstreams": "a=b"}},
               "rules": {"r": {"pools": "c=d"}}}
              """);
      assertEquals(
          read.problems().all().stream().map(Problem::severity).toList(),
          ImmutableList.of(Severity.WARNING, Severity.WARNING));
      assertEquals(read.orThrow().rules().size(), 1);
    }

    @Test
    public void acceptedDocumentMayContainUnknownKeys() {
      String text = "{\"pools\": {\"p\": {\"role\": \"decode\", \"upstreams\": \"\", \"new\": 1}}}";
      assertTrue(ConfigurationDocument.read("f", text).problems().hasErrors());
      assertEquals(ConfigurationDocument.readAccepted("f", text).orThrow().pools().size(), 1);
    }
  }

  /** The reference page documents every key. */
  public static class Reference {
    private static final Path PAGE = Path.of("..", "docs", "CONFIGURATION.md");

    /** Keys of objects whose members are documented one by one, with the key as prefix. */
    private static final ImmutableSet<String> NESTED_KEYS =
        ImmutableSet.of("match", "targets", "limits");

    @Test
    public void everyKeyOfTheCanonicalFormIsDocumented() throws IOException {
      String page = Files.readString(PAGE);
      Configuration example = ConfigurationDocument.read("f", Files.readString(EXAMPLE)).orThrow();
      ConfigurationObjects.all(example)
          .values()
          .forEach(object -> assertDocumented(page, "", ObjectWriter.toJson(object)));
      assertDocumented(page, "", ObjectWriter.toJson(Configuration.EMPTY));
      assertTrue(page.contains("| `tokenSha256` |") && page.contains("| `revision` |"));
    }

    private static void assertDocumented(String page, String prefix, JsonNode node) {
      for (Map.Entry<String, JsonNode> member : node.properties()) {
        String key = prefix + member.getKey();
        if (NESTED_KEYS.contains(key)) {
          assertDocumented(page, key + ".", member.getValue());
        } else {
          assertTrue(page.contains("| `" + key + "` |"), key);
        }
      }
    }
  }

  /** Invalid documents. */
  public static class Invalid {
    /** An invalid document and the text of its only problem. */
    @DataProvider
    public Object[][] invalidDocuments() {
      return new Object[][] {
        {"", "f:1:1: error: /: the document is empty; write an object {}"},
        {"[]", "f:1:1: error: / = [...]: the value is an array; write an object"},
        {"{\"poolz\": {}}", "f:1:2: error: /poolz: the key is unknown; did you mean \"pools\"?"},
        {
          "{\"revision\": \"x\"}",
          "f:1:14: error: /revision = \"x\": the value is a string; write a whole number"
        },
        {
          "{\"upstreams\": {\n  \"a\": {\"address\": \"10.0.0.1:1\", \"slots\": 0}}}",
          "f:2:43: error: /upstreams/a/slots = 0: out of range; use 1 to 100000"
        },
        {
          "{\"upstreams\": {\"a\": {\"address\": \"host:1\"}}}",
          "f:1:33: error: /upstreams/a/address = \"host:1\": not an IP number and port; "
              + Addresses.FORMAT_REMEDY
        },
        {
          "{\"rules\": {\"x/y\": {\"pools\": \"a in b\"}}}",
          "f:1:35: error: /rules/x~1y/pools = \"a in b\": bad selector at character 6; "
              + "write '(' there"
        },
        {
          "{\"workspaces\": {\"w\": {},\n\"w\": {}}}",
          "f:2:1: error: /workspaces/w: the name stands already in line 1; "
              + "rename or remove one of the two"
        },
        {
          "{\"pools\": {\"p\": {\"role\": \"decoder\", \"upstreams\": \"\"}}}",
          "f:1:26: error: /pools/p/role = \"decoder\": not one of the choices; "
              + "use one of prefill, decode, service"
        },
        {
          "{\"workspaces\": {\"-w\": {}}}",
          "f:1:17: error: /workspaces/-w = \"-w\": not a valid name; use letters, digits and"
              + " . _ / -, beginning and ending with a letter or a digit"
        },
        {
          "{\"upstreams\": {\"a\": {\"address\": \"10.0.0.1:1\"},\n"
              + "\"b\": {\"address\": \"10.0.0.1:1\"}}}",
          "f:2:18: error: /upstreams/b/address = \"10.0.0.1:1\": the upstream a has the same"
              + " address; give each upstream its own address"
        },
        {
          "{\"workspaces\": {\"w\": {\"tokenSha256\": \"secret\"}}}",
          "f:1:38: error: /workspaces/w/tokenSha256 = \"secret\": not a SHA-256; write 64 hex"
              + " digits in lower case, never the token"
        },
      };
    }

    @Test(dataProvider = "invalidDocuments")
    public void problemNamesPositionAndRemedy(String text, String problem) {
      assertEquals(problems(text).toString(), problem);
    }

    @Test
    public void everyProblemIsReportedAtOnce() {
      Problems problems =
          problems(
              """
              {
                "upstreams": {"a": {"address": 5, "slotz": 1, "models": ["m", "m", 3]}},
                "rules": {"r": {"maxAttempts": 99, "match": {"pathPrefix": "x"}}}
              }
              """);
      assertEquals(
          problems.all().stream()
              .filter(p -> p.severity() == Severity.ERROR)
              .map(p -> p.path().pointer())
              .sorted()
              .toList(),
          ImmutableList.of(
              "/rules/r/match/pathPrefix",
              "/rules/r/maxAttempts",
              "/rules/r/pools",
              "/upstreams/a/address",
              "/upstreams/a/models/1",
              "/upstreams/a/models/2",
              "/upstreams/a/slotz"));
    }

    @Test
    public void syntaxErrorNamesItsPosition() {
      Problem problem = problems("{\n \"pools\": {,}}").all().getFirst();
      assertEquals(problem.position().line(), 2);
      assertTrue(problem.message().startsWith("not valid JSON"), problem.message());
    }
  }
}
