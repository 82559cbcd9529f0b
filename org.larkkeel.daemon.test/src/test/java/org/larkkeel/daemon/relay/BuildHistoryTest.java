/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.larkkeel.http.Json;
import org.larkkeel.lib.HostName;
import org.larkkeel.relay.BuildHistory;
import org.larkkeel.relay.BuildName;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.StreamBuild;
import org.larkkeel.relay.StreamId;
import org.larkkeel.store.ObjectApi;
import org.larkkeel.store.ParseResult;
import org.larkkeel.store.StoredObject;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of what the store keeps of builds and streams: {@link BuildHistoryWriter}, {@link
 * StreamRecordWriter} and {@link BuildHistoryReader}.
 */
public class BuildHistoryTest {
  private static final ServiceName SERVICE = new ServiceName("model");
  private static final String ENTRY = StreamEntry.Builds.nameOf(SERVICE);
  private static final BuildName V1 = new BuildName("v1");
  private static final BuildName V2 = new BuildName("v2");
  private static final BuildName V3 = new BuildName("v3");

  /** More than the time in which a node that knows its place writes what no call waits for. */
  private static final Duration UNAWAITED = Duration.ofSeconds(4);

  private static final Duration REMOVAL_DELAY = Duration.ofSeconds(5);

  /** A node that records builds. */
  private static final class Writer {
    final SimObjectStore store;
    final List<StreamEntry.Builds> told = new ArrayList<>();
    private final BuildHistoryWriter writer;

    Writer(SimObjectStore store, int rank, boolean isNewNode) {
      this.store = store;
      this.writer =
          new BuildHistoryWriter(
              store.client(),
              store.scheduler,
              () -> rank,
              () -> isNewNode,
              told::add,
              new SplittableRandom(rank + 1));
    }

    static Writer newNode(SimObjectStore store) {
      return new Writer(store, 0, true);
    }

    static Writer restarted(SimObjectStore store) {
      return new Writer(store, 0, false);
    }

    /** Records builds of which others may have served. */
    void record(BuildName... builds) {
      submit(ImmutableSet.copyOf(builds), false, true);
    }

    /** Records the builds that have served, as known from the life of a stream. */
    void recordComplete(BuildName... builds) {
      submit(ImmutableSet.copyOf(builds), true, false);
    }

    private void submit(ImmutableSet<BuildName> builds, boolean complete, boolean awaited) {
      writer.record(new RelayEffect.RecordBuilds(SERVICE, builds, complete, awaited));
    }
  }

  private static StreamEntry.Builds storedWithMarks(SimObjectStore store) {
    return (StreamEntry.Builds)
        ((ParseResult.Readable<StreamEntry>) StreamEntry.parse(store.objects.get(ENTRY).spec()))
            .value();
  }

  /** Returns the entry without the marks of builds that may be removed later. */
  private static StreamEntry.Builds stored(SimObjectStore store) {
    StreamEntry.Builds b = storedWithMarks(store);
    return new StreamEntry.Builds(b.service(), b.builds(), b.complete(), b.era());
  }

  private static StreamEntry.Builds complete(BuildName... builds) {
    return new StreamEntry.Builds(SERVICE, ImmutableSet.copyOf(builds), true, 1);
  }

  private static StreamEntry.Builds incomplete(BuildName... builds) {
    return new StreamEntry.Builds(SERVICE, ImmutableSet.copyOf(builds), false, 1);
  }

  /** Nodes that add builds. */
  public static class Added {
    private static SimObjectStore with(StreamEntry.Builds present) {
      SimObjectStore store = new SimObjectStore();
      store.put(ENTRY, present.toJson());
      return store;
    }

    /** Guards against refusals in the first 30 s of a fleet that never ran before. */
    @Test
    public void areCompleteAtTheFirstStartOfNode() {
      SimObjectStore store = new SimObjectStore();
      Writer.newNode(store).record(V1);
      store.time.advance(UNAWAITED);
      assertEquals(stored(store), complete(V1));
    }

    /** Guards against a node that takes an entry that is missing for the word that none served. */
    @Test
    public void areIncompleteUntilRestartedNodeHasFollowedTheList() {
      SimObjectStore store = new SimObjectStore();
      Writer node = Writer.restarted(store);
      node.record(V1);
      store.time.advance(UNAWAITED);
      assertEquals(stored(store), incomplete(V1));
      node.recordComplete(V1);
      store.time.advance(UNAWAITED);
      assertEquals(stored(store), complete(V1));
    }

    /** Guards against a new node among others that completes what they left incomplete. */
    @Test
    public void stayIncompleteForNewNodeThatFindsAnEntry() {
      SimObjectStore store = with(incomplete(V1));
      Writer.newNode(store).record(V2);
      store.time.advance(UNAWAITED);
      assertEquals(stored(store), incomplete(V1, V2));
    }

    /** Guards against builds that disappear when a node that has just started records its own. */
    @Test
    public void keepThoseOfOthers() {
      SimObjectStore store = with(complete(V1));
      Writer node = Writer.restarted(store);
      node.record(V2);
      store.time.advance(UNAWAITED);
      assertEquals(stored(store), complete(V1, V2));
      assertEquals(node.told, List.of(complete(V1, V2)));
    }

    /** Guards against a herd of writes when all nodes read of a build in the same moment. */
    @Test
    public void takeOneWriteOfManyNodes() {
      SimObjectStore store = with(complete(V1));
      List<Writer> nodes = new ArrayList<>();
      for (int i = 0; i < 30; i++) {
        nodes.add(new Writer(store, i, false));
      }
      nodes.forEach(n -> n.record(V1, V2));
      store.time.advance(Duration.ofSeconds(1));
      assertEquals(store.sentWrites, 1);
      assertEquals(stored(store), complete(V1, V2));
      nodes.forEach(n -> assertEquals(n.told, List.of(complete(V1, V2))));
    }

    /** Guards against calls of each node when what no call waits for has changed. */
    @Test
    public void takeTheCallsOfFewNodesIfNoCallWaits() {
      SimObjectStore store = with(incomplete(V1));
      for (int i = 0; i < 30; i++) {
        new Writer(store, i, false).recordComplete(V1);
      }
      store.time.advance(Duration.ofSeconds(30));
      assertEquals(store.sentWrites, 1);
      assertEquals(store.sentReads, 3);
    }

    /** Guards against a build that is overwritten by a node that read before it was added. */
    @Test
    public void areNotLostInConflicts() {
      SimObjectStore store = with(complete(V1));
      Writer.restarted(store).record(V2);
      Writer.restarted(store).record(V3);
      store.time.advance(UNAWAITED);
      assertEquals(stored(store), complete(V1, V2, V3));
    }

    /** Guards against two nodes of which each creates the entry without the build of the other. */
    @Test
    public void areNotLostWhenTwoNodesCreateTheEntry() {
      SimObjectStore store = new SimObjectStore();
      Writer.newNode(store).record(V1);
      Writer.newNode(store).record(V2);
      store.time.advance(UNAWAITED);
      assertEquals(stored(store), complete(V1, V2));
    }

    /** Guards against a build that waits for ever since the answer to its write was lost. */
    @Test
    public void areToldAlthoughTheAnswerIsLost() {
      SimObjectStore store = with(complete(V1));
      Writer node = Writer.restarted(store);
      store.faults.add(SimObjectStore.Fault.ANSWER_LOST);
      node.record(V2);
      store.time.advance(UNAWAITED);
      assertEquals(node.told, List.of(complete(V1, V2)));
      assertEquals(store.writes, 1);
    }

    /** Guards against a late write that undoes what was written since. */
    @Test
    public void outlastWriteThatIsExecutedSecondsLater() {
      SimObjectStore store = with(complete(V1));
      Writer node = Writer.restarted(store);
      store.faults.add(SimObjectStore.Fault.EXECUTED_LATE);
      node.record(V2);
      store.time.advance(Duration.ofSeconds(2));
      Writer.restarted(store).record(V3);
      store.time.advance(SimObjectStore.LATE.plus(UNAWAITED));
      assertEquals(stored(store), complete(V1, V2, V3));
    }

    /**
     * Guards against a build that stays unrecorded after an outage, or is told without a record.
     */
    @Test
    public void areRecordedOnceTheStoreIsBack() {
      SimObjectStore store = with(complete(V1));
      Writer node = Writer.restarted(store);
      store.isAway = true;
      node.record(V2);
      store.time.advance(Duration.ofSeconds(20));
      assertEquals(node.told, List.of());
      store.isAway = false;
      store.time.advance(UNAWAITED);
      assertEquals(node.told, List.of(complete(V1, V2)));
    }

    /** Guards against an entry of a copy that lacks what served since the copy was made. */
    @Test
    public void ofEarlierEraAreIncompleteUntilRepaired() {
      SimObjectStore store = with(complete(V1));
      store.restore();
      Writer node = Writer.restarted(store);
      node.record(V1);
      store.time.advance(UNAWAITED);
      assertEquals(stored(store), new StreamEntry.Builds(SERVICE, ImmutableSet.of(V1), false, 2));
      node.recordComplete(V1);
      store.time.advance(UNAWAITED);
      assertEquals(stored(store), new StreamEntry.Builds(SERVICE, ImmutableSet.of(V1), true, 2));
    }

    /** Entries of another writer. */
    @DataProvider
    public Object[][] unreadable() {
      return new Object[][] {
        {"{}"}, {"7"}, {"{\"service\":\"model\",\"builds\":\"v1\",\"complete\":true,\"era\":1}"}
      };
    }

    /** Guards against an entry of another writer that stops records, or counts as none. */
    @Test(dataProvider = "unreadable")
    public void replaceAnUnreadableEntryAsIncomplete(String spec) throws Exception {
      SimObjectStore store = new SimObjectStore();
      store.put(ENTRY, Json.parse(spec.getBytes(StandardCharsets.UTF_8)));
      Writer.newNode(store).record(V2);
      store.time.advance(UNAWAITED);
      assertEquals(stored(store), incomplete(V2));
    }
  }

  /** Builds that are over. */
  public static class Removed {
    private static SimObjectStore withTwo() {
      SimObjectStore store = new SimObjectStore();
      store.put(ENTRY, complete(V1, V2).toJson());
      return store;
    }

    /** Guards against a node that removes a build because it has not seen it in its short life. */
    @Test
    public void areKeptByNodeThatHasJustStarted() {
      SimObjectStore store = withTwo();
      Writer.restarted(store).record(V2);
      store.time.advance(Duration.ofMinutes(1));
      assertEquals(stored(store), complete(V1, V2));
    }

    /** Guards against entries that grow for ever, so that no stream of a new node goes on. */
    @Test
    public void leaveOnceTheEntryIsUnchangedForLong() {
      SimObjectStore store = withTwo();
      Writer.restarted(store).recordComplete(V2);
      store.time.advance(REMOVAL_DELAY);
      assertEquals(stored(store), complete(V1, V2));
      store.time.advance(UNAWAITED);
      assertEquals(stored(store), complete(V2));
    }

    /** Guards against a removal that a second record hastens, before a new build can be seen. */
    @Test
    public void areKeptForTheWholeDelayThoughRecordedAgain() {
      SimObjectStore store = withTwo();
      Writer node = Writer.restarted(store);
      node.recordComplete(V2);
      store.time.advance(Duration.ofMillis(200));
      node.recordComplete(V2);
      store.time.advance(REMOVAL_DELAY);
      assertEquals(stored(store), complete(V1, V2));
      store.time.advance(UNAWAITED.multipliedBy(2));
      assertEquals(stored(store), complete(V2));
    }

    /** Guards against the removal of a build that another node has added meanwhile. */
    @Test
    public void areKeptIfAnotherNodeAddedOne() {
      SimObjectStore store = withTwo();
      Writer.restarted(store).recordComplete(V2);
      store.time.advance(UNAWAITED);
      Writer.restarted(store).record(V3);
      store.time.advance(Duration.ofSeconds(4));
      assertEquals(stored(store), complete(V1, V2, V3));
    }

    /**
     * Guards against the removal of a build that another node has read of again, and begins streams
     * at since the entry still has it, before the node that removes it has read of it.
     */
    @Test
    public void areKeptIfAnotherNodeWasToldThatTheyAreRecorded() {
      SimObjectStore store = withTwo();
      Writer.restarted(store).recordComplete(V2);
      store.time.advance(Duration.ofMillis(6_400));
      Writer other = Writer.restarted(store);
      other.record(V1, V2);
      store.time.advance(Duration.ofMillis(50));
      assertEquals(other.told, List.of(complete(V1, V2)));
      assertEquals(storedWithMarks(store).ending(), ImmutableSet.of());
      store.time.advance(Duration.ofSeconds(2));
      assertEquals(stored(store), complete(V1, V2));
    }

    /** Guards against a late removal of a build that serves again. */
    @Test
    public void areNotRemovedByWriteThatIsExecutedAfterAnother() {
      SimObjectStore store = withTwo();
      Writer.restarted(store).recordComplete(V2);
      store.time.advance(Duration.ofSeconds(6));
      store.faults.add(SimObjectStore.Fault.EXECUTED_LATE);
      store.time.advance(Duration.ofSeconds(1));
      assertTrue(store.faults.isEmpty());
      Writer.restarted(store).record(V3);
      store.time.advance(SimObjectStore.LATE);
      assertTrue(stored(store).builds().containsAll(Set.of(V1, V2, V3)), "" + stored(store));
    }
  }

  private static StreamBuild stream(int i, BuildName build) {
    return new StreamBuild(new StreamId("call-" + i), SERVICE, build);
  }

  /** What a read ended with. */
  private static final class Found implements BuildHistoryReader.Listener {
    Optional<BuildHistory> history;
    Set<StreamBuild> streams;
    final List<String> unreadable = new ArrayList<>();

    /** Reads all entries of a store. */
    static Found in(SimObjectStore store) {
      Found found = new Found();
      new BuildHistoryReader(
              store.client(),
              store.scheduler,
              (c, reason) -> found.unreadable.add(c + " " + reason))
          .read(found);
      store.time.advance(Duration.ofSeconds(2));
      return found;
    }

    @Override
    public void read(Optional<BuildHistory> builds, ImmutableList<StreamBuild> read) {
      history = builds;
      streams = new HashSet<>(read);
    }
  }

  /** Reads at the start of a node. */
  public static class Reads {
    private static SimObjectStore store() {
      SimObjectStore store = new SimObjectStore();
      store.put(ENTRY, complete(V1, V2).toJson());
      return store;
    }

    private static Optional<BuildHistory> both() {
      return Optional.of(new BuildHistory(ImmutableMap.of(SERVICE, ImmutableSet.of(V1, V2))));
    }

    /** Guards against streams that are on a page that is not read. */
    @Test
    public void followAllPages() {
      SimObjectStore store = store();
      Set<StreamBuild> all = new HashSet<>();
      for (int i = 0; i < 5; i++) {
        StreamBuild s = stream(i, i % 2 == 0 ? V1 : V2);
        store.put("streams-a-" + i, StreamEntry.Streams.toJson(List.of(s)));
        all.add(s);
      }
      store.pageSize = 2;
      Found found = Found.in(store);
      assertEquals(found.history, both());
      assertEquals(found.streams, all);
      assertEquals(store.pages, 3);
    }

    /** Guards against a stream that goes on at the build of one of two records. */
    @Test
    public void tellNoBuildIfRecordsContradictEachOther() {
      SimObjectStore store = store();
      StreamBuild agreed = stream(2, V1);
      store.put("streams-a-0", StreamEntry.Streams.toJson(List.of(stream(1, V1), agreed)));
      store.put("streams-b-0", StreamEntry.Streams.toJson(List.of(stream(1, V2), agreed)));
      assertEquals(Found.in(store).streams, Set.of(stream(1, BuildName.UNKNOWN), agreed));
    }

    /** Guards against a store that fails and is taken for one that has no entries. */
    @Test
    public void giveNoHistoryIfTheStoreFails() {
      SimObjectStore store = store();
      store.isAway = true;
      assertEquals(Found.in(store).history, Optional.empty());
    }

    /** Guards against entries that do not tell all builds, or did so before a restore. */
    @Test
    public void ignoreEntriesThatAreIncompleteOrOfEarlierEra() {
      SimObjectStore store = store();
      store.put(ENTRY, incomplete(V1).toJson());
      assertEquals(Found.in(store).history, Optional.of(BuildHistory.NONE));
      store.put(ENTRY, complete(V1).toJson());
      store.restore();
      assertEquals(Found.in(store).history, Optional.of(BuildHistory.NONE));
    }

    /** Guards against an entry of another writer that hides those of nodes. */
    @Test
    public void countUnreadableEntriesAndKeepTheOthers() {
      SimObjectStore store = store();
      store.put("streams-x", JsonNodeFactory.instance.objectNode().put("streams", 7));
      Found found = Found.in(store);
      assertEquals(found.history, both());
      assertEquals(found.unreadable, List.of("streams MALFORMED"));
    }
  }

  /** Records of streams. */
  public static class Records {
    private static final HostName NODE = new HostName("a");

    private static StreamRecordWriter writer(SimObjectStore store) {
      ObjectApi client = store.client();
      return new StreamRecordWriter(client, store.scheduler, NODE);
    }

    /** Adds a stream every 5 ms; returns those that were added. */
    private static Set<StreamBuild> addFor(
        SimObjectStore store, StreamRecordWriter writer, Duration time, int first) {
      Set<StreamBuild> added = new HashSet<>();
      for (int i = 0; i < time.toMillis() / 5; i++) {
        StreamBuild s = stream(first + i, i % 2 == 0 ? V1 : V2);
        added.add(s);
        writer.add(s);
        store.time.advance(Duration.ofMillis(5));
      }
      return added;
    }

    /** Guards against calls of the store that grow with the streams. */
    @Test
    public void areWrittenInAtMostFourBatchesPerSecond() {
      SimObjectStore store = new SimObjectStore();
      Set<StreamBuild> added = addFor(store, writer(store), Duration.ofSeconds(10), 0);
      store.time.advance(Duration.ofSeconds(1));
      assertTrue(store.sentWrites <= 4 * 10 + 1, store.sentWrites + " writes");
      assertEquals(Found.in(store).streams, added);
    }

    /** Guards against a first stream that is lost since its record waits for others. */
    @Test
    public void areWrittenSoonAfterSilence() {
      SimObjectStore store = new SimObjectStore();
      writer(store).add(stream(1, V1));
      store.time.advance(Duration.ofMillis(50));
      assertEquals(store.writes, 1);
    }

    /** Guards against objects that grow in number or size as long as streams begin. */
    @Test
    public void formRing() {
      SimObjectStore store = new SimObjectStore();
      StreamRecordWriter writer = writer(store);
      addFor(store, writer, Duration.ofSeconds(70), 0);
      Set<StreamBuild> last = addFor(store, writer, Duration.ofSeconds(30), 100_000);
      store.time.advance(Duration.ofSeconds(1));
      assertEquals(store.objects.size(), 17);
      Set<StreamBuild> found = Found.in(store).streams;
      assertTrue(found.containsAll(last));
      assertTrue(found.size() <= 34 * 200, found.size() + " streams");
    }

    /** Guards against an object of an earlier round that stops the records of a restarted node. */
    @Test
    public void replaceAnObjectOfEarlierLife() {
      SimObjectStore store = new SimObjectStore();
      writer(store).add(stream(1, V1));
      store.time.advance(Duration.ofSeconds(34));
      writer(store).add(stream(2, V2));
      store.time.advance(Duration.ofSeconds(1));
      assertEquals(Found.in(store).streams, Set.of(stream(2, V2)));
    }

    /** Guards against a node that starts again at once and overwrites what it has just recorded. */
    @Test
    public void keepThoseThatAnEarlierLifeWroteMomentsBefore() {
      SimObjectStore store = new SimObjectStore();
      writer(store).add(stream(1, V1));
      store.time.advance(Duration.ofMillis(600));
      writer(store).add(stream(2, V2));
      store.time.advance(Duration.ofSeconds(1));
      assertEquals(Found.in(store).streams, Set.of(stream(1, V1), stream(2, V2)));
    }

    /** Guards against memory, and objects above the limit of the store, after a long outage. */
    @Test
    public void areBoundedWhileTheStoreIsAway() {
      SimObjectStore store = new SimObjectStore();
      StreamRecordWriter writer = writer(store);
      store.isAway = true;
      for (int i = 0; i < 40_000; i++) {
        writer.add(stream(i, V1));
        store.time.advance(Duration.ofNanos(200_000));
      }
      store.isAway = false;
      store.time.advance(Duration.ofSeconds(5));
      for (StoredObject o : store.objects.values()) {
        int bytes = o.spec().toString().length();
        assertTrue(bytes <= ObjectApi.MAX_OBJECT_BYTES, bytes + " bytes");
      }
      int kept = Found.in(store).streams.size();
      assertTrue(kept > 0 && kept <= 5_000, kept + " streams");
    }

    /** Guards against streams that are forgotten when their batch fails. */
    @Test
    public void areRepeatedOnceTheStoreIsBack() {
      SimObjectStore store = new SimObjectStore();
      StreamRecordWriter writer = writer(store);
      store.isAway = true;
      Set<StreamBuild> added = addFor(store, writer, Duration.ofSeconds(7), 0);
      store.isAway = false;
      store.time.advance(Duration.ofSeconds(3));
      assertEquals(Found.in(store).streams, added);
    }

    /** Faults of a write. */
    @DataProvider
    public Object[][] faults() {
      return new Object[][] {
        {SimObjectStore.Fault.ANSWER_LOST}, {SimObjectStore.Fault.EXECUTED_LATE}
      };
    }

    /** Guards against a batch that is lost, or undoes a later one, if its outcome is unknown. */
    @Test(dataProvider = "faults")
    public void areRepeatedIfTheOutcomeIsUnknown(SimObjectStore.Fault fault) {
      SimObjectStore store = new SimObjectStore();
      StreamRecordWriter writer = writer(store);
      Set<StreamBuild> added = addFor(store, writer, Duration.ofSeconds(1), 0);
      store.faults.add(fault);
      added.addAll(addFor(store, writer, Duration.ofSeconds(5), 1_000));
      store.time.advance(Duration.ofSeconds(3));
      assertEquals(Found.in(store).streams, added);
    }
  }
}
