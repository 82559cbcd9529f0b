/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import static org.larkkeel.relay.StreamBuildsRig.NEW;
import static org.larkkeel.relay.StreamBuildsRig.OLD;
import static org.larkkeel.relay.StreamBuildsRig.SIZE;
import static org.larkkeel.relay.StreamBuildsRig.STREAMS;
import static org.larkkeel.relay.StreamBuildsRig.addNew;
import static org.larkkeel.relay.StreamBuildsRig.finding;
import static org.larkkeel.relay.StreamBuildsRig.known;
import static org.larkkeel.relay.StreamBuildsRig.world;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.lib.RequestId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of streams that are taken up at a node whose list of upstreams may be old.
 *
 * <p>Guards against streams that hold events of two builds.
 */
public class ListedBuildsTest {
  /** Streams that callers take up at a node that has seen one build only. */
  public static class TakenUpWithOneBuildListed {
    private static final StreamId STREAM = new StreamId("other-node-1");

    /** Returns a world that has known one build for some time, and does not reach the store. */
    private static RelayWorld cutOff(long knownMillis) {
      RelayWorld w = world();
      w.pass(knownMillis);
      w.setStoreAnswers(false);
      w.resume("/resume/a", SIZE, STREAM.value());
      return w;
    }

    private static void found(RelayWorld w, StreamFinding finding) {
      w.apply(new RelayEvent.StreamFound(w.now(), STREAM, finding));
    }

    /** The times for which the node has known its list, within the life of a stream and beyond. */
    @DataProvider
    public Object[][] knownMillis() {
      return new Object[][] {{100}, {31_000}, {200_000}};
    }

    /**
     * Guards against a guess by the list of a node that is cut off from the store and its peers.
     */
    @Test(dataProvider = "knownMillis")
    public void areRefusedAsNotRunIfNobodyAnswers(long knownMillis) {
      RelayWorld w = cutOff(knownMillis);
      w.pass(100);
      found(w, StreamFinding.NONE);
      w.pass(150);
      assertEquals(w.sendCount(), 0);
      assertEquals(w.refusal(), ErrorKind.NO_UPSTREAM);
    }

    /** Guards against a guess by the lists of nodes that are cut off in the same way. */
    @Test(dataProvider = "knownMillis")
    public void areRefusedIfOnlyNodesThatAreCutOffTooAnswer(long knownMillis) {
      RelayWorld w = cutOff(knownMillis);
      w.pass(100);
      found(w, finding(new StreamLookup.Sole(OLD), ListWitness.NONE));
      w.pass(150);
      assertEquals(w.sendCount(), 0);
      assertEquals(w.refusal(), ErrorKind.NO_UPSTREAM);
    }

    /** Guards against the refusal of all streams while a node alone is cut off from the store. */
    @Test(dataProvider = "knownMillis")
    public void goOnIfPeerInTouchKnowsTheSameBuild(long knownMillis) {
      RelayWorld w = cutOff(knownMillis);
      w.pass(100);
      found(w, finding(new StreamLookup.Sole(OLD), ListWitness.PEER));
      assertEquals(w.sent().upstream().build(), OLD);
    }

    /** Guards against the refusal of all streams while the store is away for all nodes. */
    @Test(dataProvider = "knownMillis")
    public void goOnIfMostNodesKnowTheSameBuild(long knownMillis) {
      RelayWorld w = cutOff(knownMillis);
      w.pass(100);
      found(w, finding(new StreamLookup.Sole(OLD), ListWitness.MAJORITY));
      assertEquals(w.sent().upstream().build(), OLD);
    }

    /** Guards against the refusal of a stream by a node that remembers, as the others do not. */
    @Test
    public void goOnIfThisNodeRemembersAndMostNodesHaveJustStarted() {
      RelayWorld w = cutOff(31_000);
      w.pass(100);
      found(w, finding(new StreamLookup.Listed(OLD), ListWitness.MAJORITY));
      assertEquals(w.sent().upstream().build(), OLD);
    }

    /** Guards against nodes that have all just started and take their lists for the past. */
    @Test
    public void areRefusedIfMostNodesHaveJustStartedAsWell() {
      RelayWorld w = cutOff(100);
      w.pass(100);
      found(w, finding(new StreamLookup.Listed(OLD), ListWitness.MAJORITY));
      w.pass(350);
      assertEquals(w.sendCount(), 0);
      assertEquals(w.refusal(), ErrorKind.NO_UPSTREAM);
    }

    /** Guards against peers that are trusted though they know another build as the only one. */
    @Test(dataProvider = "knownMillis")
    public void areRefusedIfPeersKnowAnotherBuild(long knownMillis) {
      RelayWorld w = cutOff(knownMillis);
      w.pass(100);
      found(w, finding(new StreamLookup.Sole(NEW), ListWitness.PEER));
      w.pass(150);
      assertEquals(w.sendCount(), 0);
      assertEquals(w.refusal(), ErrorKind.NO_UPSTREAM);
    }

    /** Guards against a wait of a node that knows that neither the store nor a peer answers. */
    @Test
    public void areRefusedSoonerOnceTheQuestionEndedAndTheStoreIsOverdue() {
      RelayWorld w = cutOff(31_000);
      w.pass(65);
      found(w, StreamFinding.NONE);
      assertEquals(w.refusal(), ErrorKind.NO_UPSTREAM);
    }

    /** Guards against an old confirmation of the list that is taken for a new one. */
    @Test
    public void areRefusedIfTheListWasConfirmedBeforeTheCutOnly() {
      RelayWorld w = world();
      w.pass(31_000);
      w.resume("/resume/a", SIZE, "earlier");
      w.pass(100);
      assertEquals(w.sendCount(), 1);
      w.setStoreAnswers(false);
      w.pass(1_000);
      w.resume("/resume/a", SIZE, STREAM.value());
      w.pass(450);
      assertEquals(w.sendCount(), 1);
      assertEquals(w.refusal(), ErrorKind.NO_UPSTREAM);
    }

    /** Guards against questions to other nodes while the store confirms the list. */
    @Test
    public void goOnAtOnceIfTheStoreConfirmsTheList() {
      RelayWorld w = world();
      w.pass(31_000);
      w.resume("/resume/a", SIZE, STREAM.value());
      assertEquals(w.sent().upstream().build(), OLD);
      assertTrue(w.of(RelayEffect.FindStream.class).isEmpty());
    }

    /** Guards against a call to the store for each of many streams. */
    @Test
    public void shareOneReadOfTheList() {
      RelayWorld w = world();
      w.pass(31_000);
      for (int i = 0; i < STREAMS; i++) {
        w.resume("/resume/a", SIZE, "stream-" + i);
      }
      assertEquals(w.sendCount(), STREAMS);
      assertEquals(w.of(RelayEffect.ConfirmUpstreams.class).size(), 1);
    }

    /** Guards against builds that came and went while the node did not follow the list. */
    @Test
    public void askOtherNodesAfterGap() {
      RelayWorld w = world();
      w.pass(31_000);
      w.apply(
          new RelayEvent.UpstreamsChanged(
              w.now(), OptionalLong.empty(), true, ImmutableMap.of(), ImmutableSet.of()));
      assertEquals(
          w.router.streamLookup(w.now(), STREAM, RelayWorld.MODEL), new StreamLookup.Listed(OLD));
      w.resume("/resume/a", SIZE, STREAM.value());
      assertEquals(w.of(RelayEffect.FindStream.class).size(), 1);
      found(w, known(NEW));
      assertEquals(w.refusal(), ErrorKind.NO_UPSTREAM);
    }

    /** Guards against peers' old lists that outweigh the second build that this node knows. */
    @Test
    public void areRefusedIfThisNodeKnowsSeveralBuildsAndPeersOne() {
      RelayWorld w = world();
      addNew(w);
      w.resume("/resume/a", SIZE, STREAM.value());
      found(w, finding(new StreamLookup.Sole(OLD), ListWitness.MAJORITY));
      assertEquals(w.sendCount(), 0);
      assertEquals(w.refusal(), ErrorKind.NO_UPSTREAM);
    }
  }

  /**
   * Streams that callers take up at a node that stood still while another build joined. The node
   * reads what lies in its socket buffers in any order between connections.
   */
  public static class TakenUpAfterTheNodeStoodStill {
    private static final int RUNS = 400;

    /** How the node notices that it stood still. */
    private enum Standstill {
      /** The clock runs on, and the first timer tells. */
      STALLED,
      /** The clock has counted the suspension, and the router is told before the next event. */
      SUSPENDED,
      /** Nothing has told yet. */
      UNNOTICED
    }

    /** The messages of one connection, which are read in their order. */
    private static final class Connections {
      private final SplittableRandom random;
      private final List<Deque<Runnable>> all = new ArrayList<>();

      Connections(SplittableRandom random) {
        this.random = random;
      }

      void add(Runnable... messages) {
        all.add(new ArrayDeque<>(List.of(messages)));
      }

      /** Reads all messages; between two of them some time passes. */
      void readAll(RelayWorld w) {
        while (!all.isEmpty()) {
          Deque<Runnable> next = all.get(random.nextInt(all.size()));
          next.poll().run();
          if (next.isEmpty()) {
            all.remove(next);
          }
          if (random.nextInt(3) == 0) {
            w.pass(5L * random.nextInt(1, 8));
          }
        }
      }
    }

    private static void confirm(RelayWorld w, List<RelayEffect.ConfirmUpstreams> asked) {
      for (RelayEffect.ConfirmUpstreams c : asked) {
        w.apply(new RelayEvent.UpstreamsConfirmed(w.now(), c.number()));
      }
    }

    /** Answers of peers that are in touch with the store, and know of both builds. */
    private static StreamFinding peersAnswer(SplittableRandom random) {
      return switch (random.nextInt(4)) {
        case 0 -> known(NEW);
        case 1 -> finding(new StreamLookup.Unknown(), ListWitness.MAJORITY);
        case 2 -> finding(new StreamLookup.Unknown(), ListWitness.NONE);
        default -> StreamFinding.NONE;
      };
    }

    /** Guards against a list from before the standstill that decides which build began a stream. */
    @Test
    public void goOnAtTheBuildThatBeganThemWhateverIsReadFirst() {
      int served = 0;
      for (int seed = 0; seed < RUNS; seed++) {
        served += takeUp(new SplittableRandom(seed), "seed " + seed);
      }
      assertTrue(served > RUNS, served + " streams go on");
    }

    /** Returns how many of the streams go on. */
    private static int takeUp(SplittableRandom random, String message) {
      final RelayWorld w = world();
      w.pass(random.nextBoolean() ? 31_000 : 300);
      w.setStoreAnswers(random.nextBoolean());
      if (random.nextBoolean()) {
        w.resume("/resume/a", SIZE, "earlier");
        w.pass(5L * random.nextInt(0, 30));
      }
      w.setStoreAnswers(false);
      final List<RelayEffect.ConfirmUpstreams> askedBefore =
          w.of(RelayEffect.ConfirmUpstreams.class);
      standStill(w, random);
      Set<RequestId> calls = new HashSet<>();
      Connections connections = new Connections(random);
      connections.add(
          () -> confirm(w, askedBefore),
          () -> addNew(w),
          () -> confirm(w, w.of(RelayEffect.ConfirmUpstreams.class)));
      for (int i = 0; i < STREAMS; i++) {
        StreamId stream = new StreamId("other-node-" + i);
        connections.add(
            () -> calls.add(w.resume("/resume/a", SIZE, stream.value())),
            () -> w.apply(new RelayEvent.StreamFound(w.now(), stream, peersAnswer(random))));
        if (random.nextInt(3) == 0) {
          StreamBuild told = new StreamBuild(stream, RelayWorld.MODEL, NEW);
          connections.add(() -> w.apply(new RelayEvent.StreamRecorded(w.now(), told)));
        }
      }
      connections.readAll(w);
      w.pass(600);
      List<RelayEffect.Send> sent =
          w.of(RelayEffect.Send.class).stream().filter(s -> calls.contains(s.call())).toList();
      for (RelayEffect.Send s : sent) {
        assertEquals(s.upstream().build(), NEW, message);
      }
      return sent.size();
    }

    /** Guards against a refusal since the only read of the list began before the standstill. */
    @Test
    public void goOnThoughAnEarlierReadOfTheListIsAnsweredFirst() {
      RelayWorld w = world();
      w.pass(31_000);
      w.setStoreAnswers(false);
      w.resume("/resume/a", SIZE, "earlier");
      w.standStill(2_000);
      w.resume("/resume/a", SIZE, "later");
      confirm(w, w.of(RelayEffect.ConfirmUpstreams.class));
      assertEquals(w.sendCount(), 1);
      confirm(w, w.of(RelayEffect.ConfirmUpstreams.class));
      assertEquals(w.sendCount(), 2);
    }

    private static void standStill(RelayWorld w, SplittableRandom random) {
      long millis = random.nextLong(1_000, 6_001);
      Standstill how = Standstill.values()[random.nextInt(Standstill.values().length)];
      switch (how) {
        case STALLED -> w.stall(millis);
        case SUSPENDED -> w.suspend(millis);
        case UNNOTICED -> w.standStill(millis);
        default -> throw new AssertionError(how);
      }
    }
  }
}
