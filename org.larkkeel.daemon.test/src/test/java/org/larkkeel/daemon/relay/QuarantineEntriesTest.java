/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.nio.charset.StandardCharsets;
import org.larkkeel.http.Json;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.relay.CrashSuspect;
import org.larkkeel.relay.SuspectScope;
import org.larkkeel.store.ParseResult;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link QuarantineEntries}. */
public class QuarantineEntriesTest {
  private static final long NOW = 1_790_000_000_000L;
  private static final long MILLI = 1_000_000L;

  private static CrashSuspect suspect(String request, int ends) {
    ImmutableMap.Builder<UpstreamIncarnation, CrashSuspect.Crash> crashes = ImmutableMap.builder();
    for (int i = 0; i < ends; i++) {
      UpstreamName name = new UpstreamName("i-" + i);
      crashes.put(
          new UpstreamIncarnation(name, new Incarnation(NOW + i)),
          new CrashSuspect.Crash(1_000 * MILLI, 1_100 * MILLI, 160 * MILLI));
    }
    return new CrashSuspect(
        Fingerprint.of(request),
        SuspectScope.REQUEST,
        0,
        crashes.buildOrThrow(),
        ImmutableSet.of());
  }

  private static ObjectNode written(QuarantineEntries entries) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    entries.write(node);
    return node;
  }

  private static ImmutableList<CrashSuspect> read(JsonNode entry, long wallMillis) {
    return switch (QuarantineEntries.read(entry, wallMillis)) {
      case ParseResult.Readable<ImmutableList<CrashSuspect>> r -> r.value();
      case ParseResult.Unreadable<ImmutableList<CrashSuspect>> u ->
          throw new AssertionError(u.problem());
    };
  }

  /** Entries written by a node. */
  public static class Written {
    @Test
    public void isReadWithTheAgesOfTheCrashesAtThatTime() {
      QuarantineEntries entries = new QuarantineEntries();
      assertTrue(entries.update(suspect("a", 3), true, NOW));
      CrashSuspect read = read(written(entries), NOW + 500).getFirst();
      assertEquals(read.id(), Fingerprint.of("a"));
      assertEquals(read.crashes().keySet(), suspect("a", 3).crashes().keySet());
      assertTrue(read.crashes().values().stream().allMatch(c -> c.ageNanos() == 1_500 * MILLI));
    }

    @Test
    public void keepsWhatIsKnownOfPartOfPrompts() {
      CrashSuspect part =
          new CrashSuspect(
              Fingerprint.of("part"),
              new SuspectScope.PromptPart(2),
              4,
              suspect("part", 3).crashes(),
              ImmutableSet.of(Fingerprint.of("first"), Fingerprint.of("second")));
      QuarantineEntries entries = new QuarantineEntries();
      entries.update(part, true, NOW);
      assertEquals(read(written(entries), NOW), ImmutableList.of(part));
    }

    @Test
    public void isEmptyOnceAnotherSuspectExplainsTheCrashes() {
      QuarantineEntries entries = new QuarantineEntries();
      entries.update(suspect("a", 3), true, NOW);
      assertTrue(entries.update(suspect("a", 4), false, NOW));
      assertEquals(written(entries).size(), 0);
    }

    @Test
    public void isEmptyBelowThreeCrashes() {
      QuarantineEntries entries = new QuarantineEntries();
      assertFalse(entries.update(suspect("a", 2), false, NOW));
      assertEquals(written(entries).size(), 0);
    }

    @Test
    public void keepsClearedRequest() {
      QuarantineEntries entries = new QuarantineEntries();
      entries.update(suspect("a", 3), true, NOW);
      CrashSuspect cleared =
          new CrashSuspect(
              Fingerprint.of("a"), SuspectScope.REQUEST, 1, ImmutableMap.of(), ImmutableSet.of());
      assertTrue(entries.update(cleared, false, NOW));
      assertEquals(read(written(entries), NOW), ImmutableList.of(cleared));
    }

    /** Guards against a clearance that outlasts the end of all nodes once, but not twice. */
    @Test
    public void keepsClearedRequestOverLives() {
      QuarantineEntries entries = new QuarantineEntries();
      CrashSuspect cleared =
          new CrashSuspect(
              Fingerprint.of("a"), SuspectScope.REQUEST, 1, ImmutableMap.of(), ImmutableSet.of());
      entries.update(cleared, true, NOW);
      for (int life = 0; life < 3; life++) {
        QuarantineEntries next = new QuarantineEntries();
        read(written(entries), NOW).forEach(s -> next.restore(s, NOW));
        entries = next;
      }
      assertEquals(read(written(entries), NOW), ImmutableList.of(cleared));
    }

    /** Guards against suspects of two crashes that displace what is quarantined. */
    @Test
    public void keepsQuarantinedRequestRatherThanThoseOfTwoCrashes() {
      QuarantineEntries entries = new QuarantineEntries();
      entries.update(suspect("a", 3), true, NOW);
      for (int i = 0; i < 200; i++) {
        entries.update(suspect("request " + i, 2), true, NOW);
      }
      ImmutableList<CrashSuspect> kept = read(written(entries), NOW);
      assertEquals(kept.size(), QuarantineEntries.MAX_REQUESTS);
      assertTrue(kept.contains(suspect("a", 3)), "the quarantined request is gone");
      assertTrue(kept.contains(suspect("request 199", 2)), "the latest request is gone");
    }

    @Test
    public void isBounded() {
      QuarantineEntries entries = new QuarantineEntries();
      for (int i = 0; i < 200; i++) {
        entries.update(suspect("request " + i, 3), true, NOW);
      }
      assertEquals(read(written(entries), NOW).size(), QuarantineEntries.MAX_REQUESTS);
    }

    @Test
    public void isRestoredByTheNextIncarnationUnlessExpired() {
      QuarantineEntries entries = new QuarantineEntries();
      entries.restore(suspect("a", 3), NOW);
      assertEquals(read(written(entries), NOW).size(), 1);
      QuarantineEntries later = new QuarantineEntries();
      read(written(entries), NOW + 4 * 3_600_000).forEach(s -> later.restore(s, NOW));
      assertEquals(written(later).size(), 0);
    }
  }

  /** Malformed entries of other writers. */
  public static class OtherWriters {
    @DataProvider
    static Object[][] entries() {
      return new Object[][] {
        {"{\"quarantine\":7}"},
        {"{\"quarantine\":[7]}"},
        {"{\"quarantine\":[{\"request\":\"x\",\"epoch\":0,\"ends\":[]}]}"},
        {"{\"quarantine\":[{\"request\":\"00000000000000000000000000000000\"}]}"},
        {"{\"quarantine\":[{\"request\":\"00000000000000000000000000000000\",\"epoch\":-1}]}"},
        {
          "{\"quarantine\":[{\"request\":\"00000000000000000000000000000000\",\"epoch\":0,"
              + "\"ends\":[{\"upstream\":\"\",\"start\":1,\"atMillis\":2}]}]}"
        },
      };
    }

    @Test(dataProvider = "entries")
    public void areUnreadable(String entry) throws Exception {
      JsonNode node = Json.parse(entry.getBytes(StandardCharsets.UTF_8));
      assertTrue(QuarantineEntries.read(node, NOW) instanceof ParseResult.Unreadable, entry);
    }
  }
}
