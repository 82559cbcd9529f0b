/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.Stage;
import org.larkkeel.store.CollectionChange;
import org.larkkeel.store.EntryProblem;
import org.larkkeel.store.EntryProblem.Reason;
import org.larkkeel.store.ObjectKey;
import org.larkkeel.store.ParseResult;
import org.larkkeel.store.StoreVersion;
import org.larkkeel.store.StoredObject;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link UpstreamEntries}. */
public class UpstreamEntriesTest {
  private static final EntryProblem MALFORMED =
      new EntryProblem(Reason.MALFORMED, "address", "x", "IP:PORT");
  private static final String BAD = "bad";

  /** The entries, and the upstreams that a listener derives from the differences. */
  private static final class Fixture {
    final UpstreamEntries entries = new UpstreamEntries(Fixture::read);
    final Map<UpstreamName, RelayUpstream> followed = new HashMap<>();
    private long version;

    private static ParseResult<RelayUpstream> read(StoredObject o) {
      String service = o.spec().path("service").asText();
      if (service.equals(BAD)) {
        return new ParseResult.Unreadable<>(MALFORMED);
      }
      return new ParseResult.Readable<>(
          new RelayUpstream(
              new UpstreamIncarnation(
                  new UpstreamName(o.key().name()),
                  new Incarnation(o.spec().path("start").asLong())),
              new ServiceName(service),
              "10.0.0.1:80",
              new DataCentreName("dc-1"),
              1,
              Stage.WHOLE,
              o.spec().path("leaves").asBoolean()));
    }

    StoredObject leaving(String name, long start) {
      StoredObject o = entry(name, "app", start);
      ((ObjectNode) o.spec()).put("leaves", true);
      return o;
    }

    /** Restores the store from a backup that has the given entries. */
    UpstreamEntries.Difference restore(StoredObject... all) {
      ImmutableSet<String> removed =
          followed.keySet().stream()
              .map(UpstreamName::value)
              .filter(n -> Stream.of(all).noneMatch(o -> o.key().name().equals(n)))
              .collect(ImmutableSet.toImmutableSet());
      return apply(new CollectionChange(ImmutableList.copyOf(all), removed, true));
    }

    boolean isLeaving(String name) {
      return followed.get(new UpstreamName(name)).leaving();
    }

    long incarnation(String name) {
      return followed.get(new UpstreamName(name)).incarnation().incarnation().value();
    }

    StoredObject entry(String name, String service, long start) {
      return new StoredObject(
          new ObjectKey("upstreams", name),
          "upstream",
          new StoreVersion(1, ++version),
          JsonNodeFactory.instance.objectNode().put("service", service).put("start", start));
    }

    UpstreamEntries.Difference put(StoredObject... changed) {
      return apply(new CollectionChange(ImmutableList.copyOf(changed), ImmutableSet.of()));
    }

    UpstreamEntries.Difference remove(String... names) {
      return apply(new CollectionChange(ImmutableList.of(), ImmutableSet.copyOf(names)));
    }

    private UpstreamEntries.Difference apply(CollectionChange change) {
      UpstreamEntries.Difference d = entries.apply(0, change);
      followed.putAll(d.changed());
      d.removed().forEach(followed::remove);
      return d;
    }

    Set<String> names() {
      return followed.keySet().stream().map(UpstreamName::value).collect(Collectors.toSet());
    }
  }

  /**
   * Lists of entries with and without an incarnation, and the number of those that are rejected.
   */
  public static class WithoutStart {
    @DataProvider
    static Object[][] lists() {
      return new Object[][] {{0, 5, 0}, {5, 0, 0}, {4, 1, 1}, {3, 2, 2}, {1, 4, 0}, {2, 2, 0}};
    }

    @Test(dataProvider = "lists")
    public void areRejectedIfMostEntriesHaveOne(int with, int without, int rejected) {
      Fixture w = new Fixture();
      for (int i = 0; i < with; i++) {
        w.put(w.entry("with-" + i, "app", 1_000 + i));
      }
      for (int i = 0; i < without; i++) {
        w.put(w.entry("without-" + i, "app", 0));
      }
      Set<String> names = w.names();
      assertEquals(names.size(), with + without - rejected);
      assertEquals(names.stream().filter(n -> n.startsWith("with-")).count(), with);
      assertEquals(w.entries.problems(s -> true).size(), rejected);
    }

    @Test
    public void areActiveAgainOnceMostEntriesHaveNone() {
      Fixture w = new Fixture();
      w.put(w.entry("a", "app", 1), w.entry("b", "app", 2), w.entry("c", "app", 0));
      assertEquals(w.names(), Set.of("a", "b"));
      w.put(w.entry("d", "app", 0));
      assertEquals(w.names(), Set.of("a", "b", "c", "d"));
      w.remove("d");
      assertEquals(w.names(), Set.of("a", "b"));
    }
  }

  /** The difference that a change results in. */
  public static class Differences {
    @Test
    public void containOnlyChangedUpstreams() {
      Fixture w = new Fixture();
      w.put(w.entry("a", "app", 1), w.entry("b", "app", 2));
      UpstreamEntries.Difference d = w.put(w.entry("a", "app", 1), w.entry("b", "app", 3));
      assertEquals(d.changed().keySet(), Set.of(new UpstreamName("b")));
      assertTrue(d.removed().isEmpty());
    }

    @Test
    public void removeEntriesThatBecomeUnreadable() {
      Fixture w = new Fixture();
      w.put(w.entry("a", "app", 1), w.entry("b", "app", 2));
      UpstreamEntries.Difference d = w.put(w.entry("a", BAD, 1));
      assertEquals(d.removed(), Set.of(new UpstreamName("a")));
      assertEquals(w.entries.problems(s -> true), Map.of("a", MALFORMED));
      w.remove("a");
      assertTrue(w.entries.problems(s -> true).isEmpty());
    }

    /** Other writers may also use names that are invalid for upstreams. */
    @Test
    public void acceptNamesThatAreInvalidForUpstreams() {
      Fixture w = new Fixture();
      String name = "a".repeat(253);
      assertThrows(IllegalArgumentException.class, () -> new UpstreamName(name));
      w.put(w.entry("a", "app", 1), w.entry(name, BAD, 2));
      w.remove(name);
      assertEquals(w.names(), Set.of("a"));
    }

    @Test
    public void reportServicesThatNoConfigurationNames() {
      Fixture w = new Fixture();
      w.put(w.entry("a", "app", 1), w.entry("b", "other", 2));
      Map<String, EntryProblem> problems =
          w.entries.problems(s -> s.equals(new ServiceName("app")));
      assertEquals(problems.keySet(), Set.of("b"));
      assertEquals(problems.get("b").reason(), Reason.UNNAMED_SERVICE);
      assertEquals(w.names(), Set.of("a", "b"));
    }
  }

  /**
   * Random histories: applying the differences must give the same upstreams as reading the whole
   * list.
   */
  public static class Histories {
    @DataProvider
    static Object[][] seeds() {
      return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}};
    }

    @Test(dataProvider = "seeds")
    public void giveTheSameUpstreamsAsTheWholeList(long seed) {
      SplittableRandom random = new SplittableRandom(seed);
      Fixture w = new Fixture();
      Map<String, StoredObject> store = new TreeMap<>();
      for (int i = 0; i < 2_000; i++) {
        String name = "u-" + random.nextInt(12);
        if (random.nextInt(4) == 0) {
          store.remove(name);
          w.remove(name);
        } else {
          String service = random.nextInt(5) == 0 ? BAD : "app-" + random.nextInt(2);
          StoredObject o = w.entry(name, service, random.nextInt(3));
          store.put(name, o);
          w.put(o);
        }
        Fixture fresh = new Fixture();
        fresh.put(store.values().toArray(StoredObject[]::new));
        assertEquals(w.followed, fresh.followed, "after " + i);
        assertEquals(
            w.entries.problems(s -> s.value().endsWith("0")),
            fresh.entries.problems(s -> s.value().endsWith("0")));
      }
    }
  }

  /** Entries of a restored store that contradict what was observed before. */
  public static class Restored {
    @Test
    public void keepsUpstreamsLeaving() {
      Fixture w = new Fixture();
      w.put(w.leaving("one", 7));
      w.restore(w.entry("one", "app", 7));
      assertTrue(w.isLeaving("one"));
      w.put(w.entry("one", "app", 7));
      assertTrue(w.isLeaving("one"));
    }

    @Test
    public void doesNotAffectTheNextIncarnation() {
      Fixture w = new Fixture();
      w.put(w.leaving("one", 7));
      w.restore(w.entry("one", "app", 7));
      w.put(w.entry("one", "app", 8));
      assertFalse(w.isLeaving("one"));
    }

    @Test
    public void doesNotRestoreEndedUpstreams() {
      Fixture w = new Fixture();
      w.put(w.entry("one", "app", 7), w.entry("two", "app", 7));
      w.remove("one");
      w.restore(w.entry("one", "app", 7), w.entry("two", "app", 7));
      assertEquals(w.names(), Set.of("two"));
    }

    @Test
    public void doesNotRestoreThePreviousIncarnation() {
      Fixture w = new Fixture();
      w.put(w.entry("one", "app", 7));
      w.put(w.entry("one", "app", 8));
      w.restore(w.entry("one", "app", 7));
      assertEquals(w.incarnation("one"), 8);
    }

    @Test
    public void areActiveOnceTheyAreWrittenAgain() {
      Fixture w = new Fixture();
      w.put(w.entry("one", "app", 7));
      w.remove("one");
      w.restore(w.entry("one", "app", 7));
      w.put(w.entry("one", "app", 7));
      assertEquals(w.names(), Set.of("one"));
    }

    @Test
    public void areActiveOnceTheHoldBackTimeIsOver() {
      Fixture w = new Fixture();
      w.put(w.entry("one", "app", 7));
      w.remove("one");
      w.restore(w.entry("one", "app", 7));
      UpstreamEntries.Difference d = w.entries.releaseHeldBack(1);
      assertEquals(d.changed().size(), 1);
    }

    @Test
    public void areNotReleasedAfterTheirRemoval() {
      Fixture w = new Fixture();
      w.put(w.entry("one", "app", 7));
      w.remove("one");
      w.restore(w.entry("one", "app", 7));
      w.remove("one");
      assertEquals(w.entries.releaseHeldBack(1).changed().size(), 0);
    }
  }
}
