/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.event.FailureCause;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamName;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of upstreams that start again under their names as another build. */
public class RestartedBuildsTest {
  private static final CallSize SIZE = new CallSize(300, 1_000, 600);
  private static final BuildName OLD = new BuildName("v1");
  private static final BuildName NEW = new BuildName("v2");
  private static final int ENGINES = 4;

  /** Returns a world with engines of one build, and a begun stream at each. */
  private static RelayWorld world() {
    RelayWorld w = new RelayWorld();
    w.configure(1, RelayWorld.rules());
    for (int i = 1; i <= ENGINES; i++) {
      w.add(engine(i), RelayWorld.MODEL, Stage.DECODE, OLD);
      w.restart(engine(i), 1, OLD);
    }
    w.applyDiscoveryList();
    return w;
  }

  private static String engine(int i) {
    return "engine-" + i;
  }

  /** Begins streams and returns the names of the engines that write them. */
  private static ImmutableList<String> beginStreams(RelayWorld w, int count) {
    ImmutableList.Builder<String> writers = ImmutableList.builder();
    for (int i = 0; i < count; i++) {
      w.arrive("/resume/a", 14_000, SIZE);
      w.pass(20);
      w.began();
      writers.add(w.sent().upstream().name().value());
    }
    return writers.build();
  }

  /** Asserts that what was sent after the first {@code before} sends went to a build only. */
  private static void assertSentTo(RelayWorld w, int before, int expected, BuildName build) {
    List<RelayEffect.Send> sends = w.of(RelayEffect.Send.class);
    assertEquals(sends.size(), before + expected);
    sends.stream().skip(before).forEach(s -> assertEquals(s.upstream().build(), build));
  }

  /** The change of the entries that tells of the restart. */
  public static class ChangeOfEntries {
    /** The numbers of engines that restart. */
    @DataProvider
    public Object[][] restarted() {
      return new Object[][] {{1}, {2}, {ENGINES - 1}};
    }

    /**
     * Guards against streams that go on at their own engine after it restarted as another build.
     */
    @Test(dataProvider = "restarted")
    public void sendsStreamsOnAtTheirBuildOnly(int restarted) {
      RelayWorld w = world();
      ImmutableList<String> writers = beginStreams(w, 3 * ENGINES);
      w.pass(2_000);
      final int lost = (int) writers.stream().filter(e -> isAmong(e, restarted)).count();
      for (int i = 1; i <= restarted; i++) {
        w.restart(engine(i), 7, NEW);
      }
      w.applyDiscoveryList();
      assertSentTo(w, 3 * ENGINES, lost, OLD);
    }

    private static boolean isAmong(String engine, int first) {
      return engine.compareTo(engine(first)) <= 0;
    }

    /** Guards against streams that go on at another build when none of their build is left. */
    @Test
    public void endsStreamsIfAllEnginesRestartedAsAnotherBuild() {
      RelayWorld w = world();
      beginStreams(w, ENGINES);
      w.pass(2_000);
      for (int i = 1; i <= ENGINES; i++) {
        w.restart(engine(i), 7, NEW);
      }
      w.applyDiscoveryList();
      assertSentTo(w, ENGINES, 0, OLD);
      assertEquals(w.of(RelayEffect.Cut.class).size(), ENGINES);
    }

    /** Guards against an engine that stays excluded after it has returned to the first build. */
    @Test
    public void sendsStreamsToAnEngineThatReturnedToTheirBuild() {
      RelayWorld w = world();
      String writer = beginStreams(w, 1).getFirst();
      for (int i = 1; i <= ENGINES; i++) {
        if (!engine(i).equals(writer)) {
          w.restart(engine(i), 7, NEW);
        }
      }
      w.applyDiscoveryList();
      w.pass(3_000);
      String returned = writer.equals(engine(1)) ? engine(2) : engine(1);
      w.restart(returned, 8, OLD);
      w.applyDiscoveryList();
      w.pass(3_000);
      w.lost();
      assertSentTo(w, 1, 1, OLD);
      assertEquals(w.sent().upstream().name().value(), returned);
    }

    /** Guards against a waiting stream that takes memory at an engine of another build. */
    @Test
    public void grantsWaitingStreamsMemoryAtTheirBuildOnly() {
      RelayWorld w = world();
      CallSize large = new CallSize(9_000, 1_000, 1_000);
      w.arrive("/resume/a", 14_000, large);
      w.began();
      String writer = w.sent().upstream().name().value();
      for (int i = 0; i < 3 * ENGINES; i++) {
        w.arrive("/resume/a", 14_000, large);
      }
      w.pass(100);
      final int before = w.sendCount();
      w.restart(writer, 7, NEW);
      w.applyDiscoveryList();
      w.pass(1_000);
      RequestId broken = w.of(RelayEffect.Send.class).getFirst().call();
      w.of(RelayEffect.Send.class).stream()
          .skip(before)
          .filter(s -> s.call().equals(broken))
          .forEach(s -> assertEquals(s.upstream().build(), OLD));
    }
  }

  /** What is sent between the restart and the change of the entries. */
  public static class BeforeTheChange {
    /** Returns a world with a stream that has broken and was sent on. */
    private static RelayWorld sentOn() {
      RelayWorld w = world();
      beginStreams(w, 1);
      w.lost();
      assertEquals(w.sendCount(), 2);
      return w;
    }

    /** Guards against a question to the engine for each stream. */
    @Test
    public void asksNothingForNewStreams() {
      RelayWorld w = world();
      beginStreams(w, 3);
      w.of(RelayEffect.Send.class).forEach(s -> assertEquals(s.check(), IncarnationCheck.NONE));
    }

    /** Guards against a stream that goes on at an engine that restarted unlisted. */
    @Test
    public void asksTheEngineAtWhichStreamGoesOn() {
      assertEquals(sentOn().sent().check(), IncarnationCheck.ASK);
    }

    /** Guards against a stream that is taken up at an engine that restarted unlisted. */
    @Test
    public void asksTheEngineAtWhichStreamIsTakenUp() {
      RelayWorld w = world();
      w.arrive("/resume/a", 14_000, SIZE);
      w.began();
      w.resume("/resume/a", SIZE, "call-1");
      w.pass(100);
      assertEquals(w.sendCount(), 2);
      assertEquals(w.sent().check(), IncarnationCheck.ASK);
    }

    /** The answers of an engine that is not known to be the listed incarnation. */
    @DataProvider
    public Object[][] refusals() {
      return new Object[][] {{RefusalCause.WRONG_UPSTREAM}, {RefusalCause.NOT_CONFIRMED}};
    }

    /** Guards against a stream that stays with such an engine, or is given up because of it. */
    @Test(dataProvider = "refusals")
    public void sendsStreamElsewhereIfTheEngineIsNotConfirmed(RefusalCause cause) {
      RelayWorld w = sentOn();
      final UpstreamName refused = w.sent().upstream().name();
      w.apply(new RelayEvent.Refused(w.now(), w.sent().attempt(), cause));
      assertEquals(w.sendCount(), 3);
      assertNotEquals(w.sent().upstream().name(), refused);
    }

    /** Guards against trust in an engine that failed a moment ago and does not tell who it is. */
    @Test
    public void requiresAnAnswerOfAnEngineThatFailed() {
      RelayWorld w = world();
      ImmutableList<String> writers = beginStreams(w, 2 * ENGINES);
      for (RelayEffect.Send s : w.of(RelayEffect.Send.class)) {
        w.apply(new RelayEvent.Lost(w.now(), s.attempt(), FailureCause.CONNECTION_LOST));
      }
      List<RelayEffect.Send> sentOn =
          w.of(RelayEffect.Send.class).stream().skip(writers.size()).toList();
      assertEquals(sentOn.getLast().check(), IncarnationCheck.REQUIRE);
    }

    /** Guards against trust in an engine that went dark under streams and answers again. */
    @Test
    public void requiresAnAnswerOfAnEngineWithSilentStreams() {
      RelayWorld w = world();
      ImmutableList<String> writers = beginStreams(w, 2 * ENGINES);
      assertEquals(ImmutableSet.copyOf(writers).size(), ENGINES);
      w.pass(1_000);
      w.lost();
      assertEquals(w.sent().check(), IncarnationCheck.REQUIRE);
    }
  }

  /** Streams that began at the next incarnation while the entry was that of the previous one. */
  public static class BegunBeforeTheChange {
    private static final long START = 1_700_000_000_000L;

    /** Applies entries by which the engine of the last send restarted as another build. */
    private static void restartWriter(RelayWorld w, long agoMillis) {
      w.restart(w.sent().upstream().name().value(), START, NEW);
      w.applyDiscoveryList(START + agoMillis);
    }

    private static void progress(RelayWorld w) {
      w.apply(new RelayEvent.Progressed(w.now(), w.sent().attempt(), 1));
    }

    /** Guards against a running stream that is cut off and goes on at another build. */
    @Test
    public void runToTheirEnd() {
      RelayWorld w = world();
      w.pass(3_000);
      beginStreams(w, 1);
      w.pass(800);
      progress(w);
      restartWriter(w, 2_000);
      assertEquals(w.sendCount(), 1);
      assertEquals(w.of(RelayEffect.Cancel.class).size(), 0);
      w.answered(AnswerGrade.GOOD);
      assertEquals(w.of(RelayEffect.Deliver.class).size(), 1);
    }

    /** Guards against a stream of unknown build that goes on at the build of the old entry. */
    @Test
    public void areNotContinued() {
      RelayWorld w = world();
      w.pass(3_000);
      beginStreams(w, 1);
      w.pass(800);
      progress(w);
      restartWriter(w, 2_000);
      w.pass(100);
      w.lost();
      assertEquals(w.sendCount(), 1);
      assertEquals(w.of(RelayEffect.Cut.class).size(), 1);
    }

    /** Guards against a stream that is taken up at the build of the old entry. */
    @Test
    public void areNotTakenUp() {
      RelayWorld w = world();
      w.pass(3_000);
      RequestId call = w.arrive("/resume/a", 14_000, SIZE);
      w.began();
      w.pass(100);
      w.apply(new RelayEvent.CallerLeft(w.now(), call));
      restartWriter(w, 500);
      w.resume("/resume/a", SIZE, "call-1");
      w.pass(300);
      assertEquals(w.sendCount(), 1);
      assertEquals(w.refusal(), ErrorKind.NO_UPSTREAM);
    }

    /** Guards against a record of the old build at the nodes to which it was told. */
    @Test
    public void areForgottenAtOtherNodes() {
      RelayWorld w = world();
      w.add("other", RelayWorld.MODEL, Stage.DECODE, new BuildName("v3"));
      w.applyDiscoveryList();
      w.pass(3_000);
      beginStreams(w, 1);
      w.pass(100);
      restartWriter(w, 500);
      assertEquals(
          w.of(RelayEffect.RecordStream.class).getLast().stream().build(), BuildName.UNKNOWN);
    }

    /** Guards against streams of the ended incarnation that are given up. */
    @Test
    public void doNotIncludeThoseThatFellSilentBeforeTheStart() {
      RelayWorld w = world();
      beginStreams(w, 1);
      w.pass(3_000);
      restartWriter(w, 1_000);
      assertSentTo(w, 1, 1, OLD);
    }
  }
}
