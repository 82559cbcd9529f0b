/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.Generate.oneOf;
import static org.quicktheories.generators.Generate.pick;
import static org.quicktheories.generators.SourceDSL.integers;
import static org.quicktheories.generators.SourceDSL.lists;
import static org.quicktheories.generators.SourceDSL.longs;
import static org.quicktheories.generators.SourceDSL.strings;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.BigIntegerNode;
import com.fasterxml.jackson.databind.node.LongNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.io.IOException;
import java.io.InputStream;
import java.math.BigInteger;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.larkkeel.http.Json;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.store.EntryProblem;
import org.larkkeel.store.ListQuery;
import org.larkkeel.store.ObjectPage;
import org.larkkeel.store.ParseResult;
import org.quicktheories.QuickTheory;
import org.quicktheories.core.Gen;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Property-based tests of reading entries with arbitrary content. The system properties {@code
 * larkkeel.fuzz.inputs} and {@code larkkeel.fuzz.seed} set the number of inputs per test and the
 * seed.
 */
public class EntryFuzzTest {
  private static final int INPUTS = Integer.getInteger("larkkeel.fuzz.inputs", 2_000);
  private static final long SEED = Long.getLong("larkkeel.fuzz.seed", 1);
  private static final String CORPUS = "/entries/";
  private static final Set<String> FIELDS =
      Set.of(
          "spec", "name", "service", "address", "zone", "slots", "born", "state", "stage",
          "version");
  private static final List<String> REQUIRED =
      List.of("service", "address", "zone", "slots", "state");

  private static QuickTheory theory() {
    return qt().withFixedSeed(SEED).withExamples(INPUTS);
  }

  /** A change of a field: to another value, or its removal. */
  private record Change(String field, Optional<JsonNode> value) {
    ObjectNode apply(ObjectNode entry) {
      value.ifPresentOrElse(v -> entry.set(field, v), () -> entry.remove(field));
      return entry;
    }
  }

  private static Gen<JsonNode> values() {
    Gen<JsonNode> texts = strings().allPossible().ofLengthBetween(0, 80).map(TextNode::valueOf);
    Gen<JsonNode> numbers = longs().between(Long.MIN_VALUE, Long.MAX_VALUE).map(LongNode::valueOf);
    Gen<JsonNode> large =
        integers().between(1, 900).map(n -> BigIntegerNode.valueOf(BigInteger.TEN.pow(n)));
    Gen<JsonNode> known = pick(lines("values.txt").stream().map(EntryFuzzTest::json).toList());
    return oneOf(texts, numbers, large, known);
  }

  private static Gen<Change> changes() {
    Gen<String> fields = pick(List.copyOf(new TreeSet<>(FIELDS)));
    Gen<Optional<JsonNode>> values =
        integers()
            .between(0, 4)
            .zip(values(), (i, v) -> i == 0 ? Optional.empty() : Optional.of(v));
    return fields.zip(values, Change::new);
  }

  private static Gen<JsonNode> entries() {
    return lists()
        .of(changes())
        .ofSizeBetween(0, 3)
        .map(
            list -> {
              ObjectNode entry = Entries.valid();
              list.forEach(c -> c.apply(entry));
              return entry;
            });
  }

  private static JsonNode json(String text) {
    try {
      return Json.parse(text.getBytes(UTF_8));
    } catch (IOException e) {
      throw new IllegalArgumentException(text, e);
    }
  }

  private static List<String> lines(String file) {
    try (InputStream in = EntryFuzzTest.class.getResourceAsStream(CORPUS + file)) {
      return new String(in.readAllBytes(), UTF_8).lines().filter(l -> !l.isBlank()).toList();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void check(EntryProblem p) {
    assertTrue(p.found().length() <= EntryProblem.MAX_FOUND_CHARS, p.found());
    assertTrue(p.found().matches("[ !#-~]*"), p.found());
  }

  /** Tests of the content of upstream entries. */
  public static class Content {
    @Test
    public void isReadOrReportsProblem() {
      theory()
          .forAll(oneOf(entries(), values()))
          .checkAssert(
              spec -> {
                switch (PlatformUpstreams.read(Entries.object("i-1", spec))) {
                  case ParseResult.Readable<RelayUpstream> r -> assertTrue(r.value().slots() >= 1);
                  case ParseResult.Unreadable<RelayUpstream> u -> {
                    check(u.problem());
                    assertTrue(FIELDS.contains(u.problem().field()), u.problem().field());
                  }
                }
              });
    }

    @Test
    public void isNotReadWithoutRequiredField() {
      theory()
          .forAll(entries(), pick(REQUIRED))
          .checkAssert(
              (entry, field) -> {
                ObjectNode without = entry.<ObjectNode>deepCopy().without(field);
                assertTrue(
                    PlatformUpstreams.read(Entries.object("i-1", without))
                        instanceof ParseResult.Unreadable<RelayUpstream>);
              });
    }

    @Test
    public void isReadIfValid() {
      theory()
          .forAll(
              integers().between(1, Integer.MAX_VALUE),
              longs().between(1, Long.MAX_VALUE),
              integers().between(1, 65_535),
              pick(List.of("ready", "draining")))
          .checkAssert(
              (slots, born, port, state) -> {
                ObjectNode entry = Entries.valid().put("slots", slots).put("born", born);
                entry.put("address", "10.1.64.9:" + port).put("state", state);
                assertTrue(
                    PlatformUpstreams.read(Entries.object("i-1", entry))
                        instanceof ParseResult.Readable<RelayUpstream>,
                    entry.toString());
              });
    }
  }

  /** Tests of the content of configurations. */
  public static class Configurations {
    private static final List<String> CHANGED =
        List.of(
            "version",
            "routes",
            "services",
            "limits",
            "name",
            "kind",
            "timeout_ms",
            "host",
            "service",
            "traffic_split",
            "max_attempts",
            "allow_resume",
            "engine",
            "path_prefix");

    @Test
    public void areReadOrReportProblem() {
      theory()
          .forAll(pick(CHANGED), values(), integers().between(0, 3))
          .checkAssert(
              (field, value, depth) -> {
                ObjectNode spec = (ObjectNode) json(lines("configuration.json").getFirst());
                JsonNode at = depth == 0 ? spec : spec.findParent(field);
                if (at instanceof ObjectNode o) {
                  o.set(field, value);
                }
                switch (PlatformConfiguration.read(spec)) {
                  case ParseResult.Readable<RelayConfiguration> r ->
                      assertTrue(r.value().revision() >= 0);
                  case ParseResult.Unreadable<RelayConfiguration> u -> check(u.problem());
                }
              });
    }
  }

  /** Tests of arbitrary bytes in the place of an object, between valid objects. */
  public static class Bytes {
    private static final String PAGE = "{\"items\":[%s],\"more_pages\":false,\"as_of\":100}";
    private static final List<String> OTHERS = List.of("a", "z", "zz");

    /** A valid object that is truncated or has one byte changed, or arbitrary text or JSON. */
    private static Gen<String> broken() {
      String good = ScriptedStore.item("m", 3, Entries.valid().toString());
      Gen<String> changed =
          integers()
              .between(0, good.length() - 1)
              .zip(
                  integers().between(0, 255),
                  (at, b) -> good.substring(0, at) + (char) (int) b + good.substring(at + 1));
      Gen<String> cut = integers().between(0, good.length() - 1).map(n -> good.substring(0, n));
      Gen<String> any = strings().betweenCodePoints(0, 255).ofLengthBetween(0, 60);
      return oneOf(changed, cut, any, values().map(JsonNode::toString));
    }

    private static void assertOthersAreRead(String bad) {
      String items =
          ScriptedStore.item("a", 1)
              + ","
              + bad
              + ","
              + ScriptedStore.item("z", 2)
              + ","
              + ScriptedStore.item("zz", 4);
      ObjectPage page =
          PlatformObjectApi.page(
              ListQuery.of(PlatformNames.SERVERS_KIND),
              1,
              PAGE.formatted(items).getBytes(ISO_8859_1));
      List<String> names = page.items().stream().map(o -> o.key().name()).toList();
      assertTrue(names.containsAll(OTHERS), bad + " " + names);
      page.unreadable().forEach(u -> check(u.problem()));
    }

    @Test
    public void doNotAffectOthers() {
      theory().forAll(broken()).checkAssert(Bytes::assertOthersAreRead);
    }

    @DataProvider
    static Object[][] corpus() {
      return lines("objects.txt").stream().map(l -> new Object[] {l}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "corpus")
    public void ofTheCorpusDoNotAffectOthers(String bad) {
      assertOthersAreRead(bad);
    }
  }

  /** Tests of known entries: the expected verdict, a tab, and the content. */
  public static class Corpus {
    @DataProvider
    static Object[][] entries() {
      return lines("entries.txt").stream().map(l -> l.split("\t", 2)).toArray(Object[][]::new);
    }

    @Test(dataProvider = "entries")
    public void isReadAsExpected(String verdict, String spec) {
      var reading = PlatformUpstreams.read(Entries.object("i-1", json(spec)));
      assertEquals(
          reading instanceof ParseResult.Readable<RelayUpstream>, verdict.equals("good"), spec);
    }
  }
}
