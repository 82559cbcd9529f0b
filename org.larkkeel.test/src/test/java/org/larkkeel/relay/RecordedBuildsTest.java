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
import static org.larkkeel.relay.StreamBuildsRig.world;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.larkkeel.errors.ErrorKind;
import org.testng.annotations.Test;

/**
 * Tests of the builds that the store records, by which streams are taken up.
 *
 * <p>Guards against streams that hold events of two builds.
 */
public class RecordedBuildsTest {
  /** Streams that callers take up after all nodes have ended. */
  public static class TakenUpAfterTheEndOfAllNodes {
    private static final StreamId STREAM = new StreamId("before");

    private static BuildHistory history(BuildName... builds) {
      return new BuildHistory(ImmutableMap.of(RelayWorld.MODEL, ImmutableSet.copyOf(builds)));
    }

    private static StreamBuild begunBy(BuildName build) {
      return new StreamBuild(STREAM, RelayWorld.MODEL, build);
    }

    private static void takeUp(RelayWorld w) {
      w.resume("/resume/a", SIZE, STREAM.value());
      w.apply(
          new RelayEvent.StreamFound(
              w.now(), STREAM, finding(new StreamLookup.Listed(OLD), ListWitness.PEER)));
    }

    /** Guards against a list that is complete now and is taken for all that served before. */
    @Test
    public void areRefusedIfNoNodeKnowsWhichBuildsHaveServed() {
      RelayWorld w = world();
      takeUp(w);
      w.pass(450);
      assertEquals(w.sendCount(), 0);
      assertEquals(w.refusal(), ErrorKind.NO_UPSTREAM);
    }

    /** Guards against refusals of all streams where only one build can have begun them. */
    @Test
    public void goOnIfTheStoreTellsThatOneBuildHasServed() {
      RelayWorld w = world();
      w.setHistory(history(OLD));
      w.resume("/resume/a", SIZE, STREAM.value());
      w.pass(450);
      assertEquals(w.sent().upstream().build(), OLD);
    }

    /** Guards against a stream of a build that left while no node was there. */
    @Test
    public void areRefusedIfTheStoreTellsThatAnotherBuildHasServed() {
      RelayWorld w = world();
      w.setHistory(history(OLD, NEW));
      takeUp(w);
      w.pass(450);
      assertEquals(w.sendCount(), 0);
      assertEquals(w.refusal(), ErrorKind.NO_UPSTREAM);
    }

    /** Guards against a build that was replaced as a whole while no node was there. */
    @Test
    public void areRefusedIfTheStoreTellsOfAnotherBuildOnly() {
      RelayWorld w = world();
      w.setHistory(history(NEW));
      takeUp(w);
      w.pass(450);
      assertEquals(w.sendCount(), 0);
      assertEquals(w.refusal(), ErrorKind.NO_UPSTREAM);
    }

    /** Guards against refusals of all streams while several builds serve. */
    @Test
    public void goOnAtTheBuildThatTheStoreNames() {
      RelayWorld w = world();
      addNew(w);
      w.setHistory(history(OLD, NEW), begunBy(OLD));
      w.resume("/resume/a", SIZE, STREAM.value());
      w.pass(100);
      assertEquals(w.sent().upstream().build(), OLD);
    }

    /** Guards against a guess where records contradict each other. */
    @Test
    public void areRefusedIfTheStoreDoesNotKnowTheirWriter() {
      RelayWorld w = world();
      addNew(w);
      w.setHistory(history(OLD, NEW), begunBy(BuildName.UNKNOWN));
      w.resume("/resume/a", SIZE, STREAM.value());
      w.pass(450);
      assertEquals(w.sendCount(), 0);
      assertEquals(w.refusal(), ErrorKind.NO_UPSTREAM);
    }

    /** Guards against what nodes remember that have not reached the store since. */
    @Test
    public void areRefusedIfOnlyNodesThatAreCutOffRemember() {
      RelayWorld w = world();
      w.resume("/resume/a", SIZE, STREAM.value());
      w.apply(
          new RelayEvent.StreamFound(
              w.now(), STREAM, finding(new StreamLookup.Sole(OLD), ListWitness.MAJORITY)));
      w.pass(450);
      assertEquals(w.sendCount(), 0);
      assertEquals(w.refusal(), ErrorKind.NO_UPSTREAM);
    }

    /** Guards against reads of a store that fails at once, one after another without a pause. */
    @Test
    public void readFailingStoreRarely() {
      RelayWorld w = world();
      w.setStoreAnswers(false);
      takeUp(w);
      for (int i = 1; i <= 20; i++) {
        w.apply(new RelayEvent.BuildHistoryRead(w.now(), i, Optional.empty(), ImmutableList.of()));
        w.pass(5);
      }
      assertEquals(w.of(RelayEffect.ReadBuildHistory.class).size(), 1);
      assertEquals(w.refusal(), ErrorKind.NO_UPSTREAM);
    }

    /** Guards against builds that are over and come back from the store with each read. */
    @Test
    public void doNotBringBuildsBackAtNodeThatRemembers() {
      RelayWorld w = world();
      addNew(w);
      w.pass(31_000);
      w.remove("old-1");
      w.pass(33_000);
      w.setHistory(history(OLD, NEW), begunBy(OLD));
      w.apply(new RelayEvent.ListDoubted(w.now()));
      assertEquals(
          w.router.streamLookup(w.now(), new StreamId("other"), RelayWorld.MODEL),
          new StreamLookup.Sole(NEW));
    }

    /** Guards against a wait for a store that does not answer, and against a guess meanwhile. */
    @Test
    public void areRefusedIfTheStoreDoesNotAnswer() {
      RelayWorld w = world();
      w.setHistory(history(OLD));
      w.setStoreAnswers(false);
      takeUp(w);
      w.pass(250);
      assertEquals(w.sendCount(), 0);
      assertEquals(w.refusal(), ErrorKind.NO_UPSTREAM);
    }

    /** Guards against a read of the store for each of many streams. */
    @Test
    public void shareOneReadOfTheHistory() {
      RelayWorld w = world();
      w.setHistory(history(OLD));
      for (int i = 0; i < STREAMS; i++) {
        w.resume("/resume/a", SIZE, "stream-" + i);
      }
      assertEquals(w.sendCount(), STREAMS);
      assertEquals(w.of(RelayEffect.ReadBuildHistory.class).size(), 1);
    }

    /** Guards against reads of the store by nodes that have followed the list themselves. */
    @Test
    public void needNoHistoryAtNodeThatRemembers() {
      RelayWorld w = world();
      w.pass(31_000);
      w.resume("/resume/a", SIZE, STREAM.value());
      assertEquals(w.sent().upstream().build(), OLD);
      assertTrue(w.of(RelayEffect.ReadBuildHistory.class).isEmpty());
    }

    /** Guards against a stream that is lost with all nodes that kept it, and is in the store. */
    @Test
    public void areSoughtInTheStoreIfOtherNodesDoNotKnowThem() {
      RelayWorld w = world();
      addNew(w);
      w.pass(31_000);
      w.setHistory(history(OLD, NEW), begunBy(OLD));
      w.resume("/resume/a", SIZE, STREAM.value());
      assertEquals(w.sendCount(), 0);
      w.apply(
          new RelayEvent.StreamFound(
              w.now(), STREAM, finding(new StreamLookup.Unknown(), ListWitness.NONE)));
      assertEquals(w.sent().upstream().build(), OLD);
    }
  }

  /** The builds that are recorded in the store. */
  public static class RecordedBuilds {
    private static RelayEffect.RecordBuilds last(RelayWorld w) {
      return w.of(RelayEffect.RecordBuilds.class).getLast();
    }

    /** Guards against a stream of a build that would be forgotten with all nodes. */
    @Test
    public void beginNoStreamsBeforeTheyAreRecorded() {
      RelayWorld w = world();
      w.setStoreAnswers(false);
      addNew(w);
      for (int i = 0; i < STREAMS; i++) {
        w.arrive("/resume/a", 14_000, SIZE);
        w.pass(5);
      }
      w.of(RelayEffect.Send.class).forEach(s -> assertEquals(s.upstream().build(), OLD));
      w.apply(new RelayEvent.BuildsRecorded(w.now(), RelayWorld.MODEL, ImmutableSet.of(OLD, NEW)));
      for (int i = 0; i < STREAMS; i++) {
        w.arrive("/resume/a", 14_000, SIZE);
        w.pass(5);
      }
      assertEquals(w.sent().upstream().build(), NEW);
    }

    /** Guards against engines that stay idle for as long as the store does not answer. */
    @Test
    public void beginStreamsIfTheStoreDoesNotAnswer() {
      RelayWorld w = world();
      w.setStoreAnswers(false);
      addNew(w);
      w.pass(1_005);
      for (int i = 0; i < STREAMS; i++) {
        w.arrive("/resume/a", 14_000, SIZE);
        w.pass(5);
      }
      assertEquals(w.sent().upstream().build(), NEW);
    }

    /** Guards against refusals while the only build that is left is not recorded yet. */
    @Test
    public void beginStreamsIfNoOtherBuildIsLeft() {
      RelayWorld w = world();
      w.setStoreAnswers(false);
      addNew(w);
      w.leave("old-1");
      w.arrive("/resume/a", 14_000, SIZE);
      assertEquals(w.sent().upstream().build(), NEW);
    }

    /** Guards against calls that wait for the store though they can not be taken up. */
    @Test
    public void areNotAwaitedByOtherCalls() {
      RelayWorld w = world();
      w.setStoreAnswers(false);
      addNew(w);
      for (int i = 0; i < STREAMS; i++) {
        w.arrive("/stream/a", 14_000, SIZE);
        w.pass(5);
      }
      assertTrue(
          w.of(RelayEffect.Send.class).stream().anyMatch(s -> s.upstream().build().equals(NEW)));
    }

    /** Guards against a build that is in the history for ever, or is taken from it too soon. */
    @Test
    public void leaveTheHistoryOnceNoStreamOfTheirsCanGoOn() {
      RelayWorld w = world();
      addNew(w);
      assertEquals(last(w).builds(), ImmutableSet.of(OLD, NEW));
      assertTrue(last(w).awaited());
      w.remove("old-1");
      w.pass(29_000);
      assertEquals(last(w).builds(), ImmutableSet.of(OLD, NEW));
      w.pass(4_000);
      assertEquals(last(w).builds(), ImmutableSet.of(NEW));
      assertTrue(last(w).complete());
    }

    /** Guards against a build that stays in the history as it left long after the last change. */
    @Test
    public void leaveTheHistoryAlsoIfTheyLeaveLongAfterTheOthersCame() {
      RelayWorld w = world();
      addNew(w);
      w.pass(60_000);
      w.remove("old-1");
      w.pass(29_000);
      assertEquals(last(w).builds(), ImmutableSet.of(OLD, NEW));
      w.pass(4_000);
      assertEquals(last(w).builds(), ImmutableSet.of(NEW));
    }

    /** Guards against a node that has just started and claims to know the past. */
    @Test
    public void areCompleteOnlyIfTheListWasFollowedForTheLifeOfStream() {
      RelayWorld w = world();
      assertFalse(last(w).complete());
      w.pass(29_000);
      assertFalse(last(w).complete());
      w.pass(3_000);
      assertTrue(last(w).complete());
    }
  }
}
