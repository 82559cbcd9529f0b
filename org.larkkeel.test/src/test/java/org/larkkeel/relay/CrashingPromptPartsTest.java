/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Arrays;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.UpstreamIncarnation;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a failure in which different requests with a common part of their prompts crashed
 * one upstream after the other: tests how one node detects the part, quarantines it and clears it.
 */
public class CrashingPromptPartsTest {
  private static final CallSize SMALL = new CallSize(2_000, 1_000, 1_000);
  private static final String FIRST = "first";
  private static final String DEADLY = "deadly";

  private static RelayWorld world() {
    RelayWorld w = RelayWorld.withDefaults();
    w.add("run-3", RelayWorld.MODEL, Stage.DECODE);
    w.add("run-4", RelayWorld.MODEL, Stage.DECODE);
    w.add("other-1", RelayWorld.OTHER, Stage.WHOLE);
    w.applyDiscoveryList();
    return w;
  }

  /** Sends a new request with the given parts; it is prefilled, but not begun. */
  private static void send(RelayWorld w, String... sharedParts) {
    w.arriveWithPrompt("/stream/a", SMALL, sharedParts);
    w.promptRead();
  }

  /** Sends a new request with the given parts, and lets the upstream that runs it crash. */
  private static void crash(RelayWorld w, long incarnation, String... sharedParts) {
    send(w, sharedParts);
    crashUpstream(w, incarnation);
  }

  private static void crashUpstream(RelayWorld w, long incarnation) {
    String crashed = w.sent().upstream().name().value();
    w.lost();
    w.restart(crashed, incarnation);
    w.pass(1_000);
  }

  private static boolean isSent(RelayWorld w, String path, String... sharedParts) {
    int sends = w.sendCount();
    w.arriveWithPrompt(path, SMALL, sharedParts);
    return w.sendCount() > sends;
  }

  private static Fingerprint fingerprint(String part) {
    return new PromptPart(part).fingerprint(RelayWorld.MODEL);
  }

  private static CrashSuspect report(String part, int position, int epoch, String... crashed) {
    ImmutableMap.Builder<UpstreamIncarnation, CrashSuspect.Crash> crashes = ImmutableMap.builder();
    for (int i = 0; i < crashed.length; i++) {
      long age = (crashed.length - i) * 100 * RelayWorld.MILLI;
      crashes.put(
          RelayWorld.incarnation(crashed[i]),
          new CrashSuspect.Crash(age, age + 90 * RelayWorld.MILLI));
    }
    return new CrashSuspect(
        fingerprint(part),
        new SuspectScope.PromptPart(position),
        epoch,
        crashes.buildOrThrow(),
        ImmutableSet.of());
  }

  private static void receive(RelayWorld w, CrashSuspect... reports) {
    w.apply(new RelayEvent.SuspectsHeard(w.now(), ImmutableList.copyOf(reports)));
  }

  /** After three crashes of upstreams that had different requests with the part. */
  public static class AfterThreeCrashes {
    private static RelayWorld crashed() {
      RelayWorld w = world();
      for (int i = 1; i <= 3; i++) {
        crash(w, i, FIRST, DEADLY);
      }
      return w;
    }

    @Test
    public void isNotSentAgain() {
      RelayWorld w = crashed();
      assertFalse(isSent(w, "/stream/a", FIRST, DEADLY));
      assertEquals(w.refusal(), ErrorKind.QUARANTINED);
      assertTrue(w.refused().retryAfterMillis() > 0, "Retry-After is set");
    }

    @Test
    public void isNotSentBehindOtherParts() {
      assertFalse(isSent(crashed(), "/stream/a", "another", FIRST, DEADLY, "more"));
    }

    @Test
    public void othersWithTheSameFirstPartAreSent() {
      RelayWorld w = crashed();
      assertTrue(isSent(w, "/stream/a", FIRST));
      assertTrue(isSent(w, "/stream/a", FIRST, "sound"));
    }

    @Test
    public void isSentToUpstreamsOfOtherServices() {
      assertTrue(isSent(crashed(), "/other/a", FIRST, DEADLY));
    }

    @Test
    public void isSentIfItIsTheLastPart() {
      RelayWorld w = crashed();
      int sends = w.sendCount();
      w.arrive("/stream/a", 14_000, SMALL, new PromptKey(DEADLY), false);
      assertEquals(w.sendCount(), sends + 1, "the last part belongs to one request");
    }

    @Test
    public void isSentOnceOperatorReleasesIt() {
      RelayWorld w = crashed();
      w.apply(new RelayEvent.Released(w.now(), fingerprint(DEADLY)));
      assertTrue(isSent(w, "/stream/a", FIRST, DEADLY));
      assertEquals(
          w.of(RelayEffect.ReportSuspects.class).getLast().suspects().getFirst().clearanceEpoch(),
          1);
    }
  }

  /** The evidence that counts against a part. */
  public static class Evidence {
    @Test
    public void answerInBetweenClearsThePart() {
      RelayWorld w = world();
      crash(w, 1, FIRST, DEADLY);
      crash(w, 2, FIRST, DEADLY);
      send(w, FIRST, DEADLY);
      w.began();
      w.answered(AnswerGrade.GOOD);
      crash(w, 3, FIRST, DEADLY);
      assertTrue(isSent(w, "/stream/a", FIRST, DEADLY));
    }

    /** The grades of answers that do not show that the upstream began to generate. */
    @DataProvider
    public Object[][] withoutProof() {
      return new Object[][] {{AnswerGrade.FAILED}, {AnswerGrade.REJECTED}};
    }

    /** Guards against a failing upstream whose answer clears a part that crashes upstreams. */
    @Test(dataProvider = "withoutProof")
    public void answerThatIsNotGoodDoesNotClearThePart(AnswerGrade grade) {
      RelayWorld w = world();
      crash(w, 1, FIRST, DEADLY);
      crash(w, 2, FIRST, DEADLY);
      send(w, FIRST, DEADLY);
      w.answered(grade);
      crash(w, 3, FIRST, DEADLY);
      assertFalse(isSent(w, "/stream/a", FIRST, DEADLY));
    }

    /** Guards against a failing upstream whose answer makes all crashes before it uncounted. */
    @Test(dataProvider = "withoutProof")
    public void answerThatIsNotGoodDoesNotMakeThePartHarmless(AnswerGrade grade) {
      RelayWorld w = world();
      send(w, FIRST, DEADLY);
      w.answered(grade);
      for (int i = 1; i <= 3; i++) {
        crash(w, i, FIRST, DEADLY);
      }
      assertFalse(isSent(w, "/stream/a", FIRST, DEADLY));
    }

    @Test
    public void partThatWasServedBeforeIsNotSuspected() {
      RelayWorld w = world();
      send(w, FIRST, "popular");
      w.began();
      w.answered(AnswerGrade.GOOD);
      for (int i = 1; i <= 4; i++) {
        crash(w, i, FIRST, "popular");
      }
      assertTrue(isSent(w, "/stream/a", FIRST, "popular"));
    }

    @Test
    public void streamThatRanForSomeTimeClearsThePart() {
      RelayWorld w = world();
      crash(w, 1, FIRST, "beside");
      crash(w, 2, FIRST, "beside");
      send(w, FIRST, "beside");
      w.began();
      w.pass(300);
      crashUpstream(w, 3);
      crash(w, 4, FIRST, "beside");
      assertTrue(isSent(w, "/stream/a", FIRST, "beside"));
    }

    @Test
    public void partThatWasServedLongAgoIsSuspected() {
      RelayWorld w = world();
      send(w, FIRST, DEADLY);
      w.began();
      w.answered(AnswerGrade.GOOD);
      w.skip(61_000);
      for (int i = 1; i <= 3; i++) {
        crash(w, i, FIRST, DEADLY);
      }
      assertFalse(isSent(w, "/stream/a", FIRST, DEADLY));
    }

    @Test
    public void partThatAnotherBuildHasServedIsSuspected() {
      RelayWorld w = world();
      send(w, FIRST, DEADLY);
      w.began();
      w.answered(AnswerGrade.GOOD);
      w.remove("run-1", "run-2", "run-3", "run-4");
      for (int i = 1; i <= 4; i++) {
        w.add("next-" + i, RelayWorld.MODEL, Stage.DECODE, new BuildName("v2"));
      }
      w.applyDiscoveryList();
      for (int i = 1; i <= 3; i++) {
        crash(w, i, FIRST, DEADLY);
      }
      assertFalse(isSent(w, "/stream/a", FIRST, DEADLY));
    }

    @Test
    public void crashesAfterSomeTimeOfStreamingAreNotCounted() {
      RelayWorld w = world();
      for (int i = 1; i <= 8; i++) {
        send(w, FIRST, "slow");
        w.began();
        w.pass(600);
        crashUpstream(w, i);
        w.skip(61_000);
      }
      assertTrue(isSent(w, "/stream/a", FIRST, "slow"));
    }

    /** Returns the times from the first event to the crash. */
    @DataProvider
    public Object[][] afterFirstEvent() {
      return new Object[][] {{1}, {100}, {300}};
    }

    /** Guards against a part that goes on crashing upstreams as they have written an event. */
    @Test(dataProvider = "afterFirstEvent")
    public void partThatCrashesUpstreamsAfterTheFirstEventIsNotSent(int millis) {
      RelayWorld w = world();
      for (int i = 1; i <= 5; i++) {
        send(w, FIRST, DEADLY);
        w.began();
        w.pass(millis);
        crashUpstream(w, i);
      }
      assertFalse(isSent(w, "/stream/a", FIRST, DEADLY));
      assertTrue(isSent(w, "/stream/a", FIRST, "sound"));
    }

    private static CrashSuspect cutStreams(String part, int... streamedMillis) {
      ImmutableMap.Builder<UpstreamIncarnation, CrashSuspect.Crash> crashes =
          ImmutableMap.builder();
      for (int i = 0; i < streamedMillis.length; i++) {
        long age = (streamedMillis.length - i) * 1_000 * RelayWorld.MILLI;
        crashes.put(
            RelayWorld.incarnation("engine-" + i),
            new CrashSuspect.Crash(
                age, age + 600 * RelayWorld.MILLI, streamedMillis[i] * RelayWorld.MILLI));
      }
      return new CrashSuspect(
          fingerprint(part),
          new SuspectScope.PromptPart(1),
          0,
          crashes.buildOrThrow(),
          ImmutableSet.of());
    }

    /** Sound requests must not be refused since they ran beside those that crash upstreams. */
    @Test
    public void streamsThatWereCutBesideDeadlyPartAreNotCounted() {
      RelayWorld w = world();
      receive(
          w,
          cutStreams(DEADLY, 101, 99, 100, 103, 110, 100, 104, 99, 101, 120),
          cutStreams("beside", 20, 450, 170, 300, 90, 210, 350, 130, 60, 250));
      assertTrue(isSent(w, "/stream/a", FIRST, "beside"));
      assertFalse(isSent(w, "/stream/a", FIRST, DEADLY));
    }

    /** Guards against a sound part that is charged with crashes that nothing in prompts causes. */
    @Test
    public void streamsThatWereCutAtDifferentTimesAreNotCounted() {
      RelayWorld w = world();
      receive(w, cutStreams("beside", 60, 280, 0, 150, 480));
      assertTrue(isSent(w, "/stream/a", FIRST, "beside"));
    }

    /** Guards against a part of short streams that is charged with crashes of several causes. */
    @Test
    public void fewStreamsThatWereCutAtSimilarTimesAreNotCounted() {
      RelayWorld w = world();
      receive(w, cutStreams("beside", 87, 0, 0, 173, 116));
      assertTrue(isSent(w, "/stream/a", FIRST, "beside"));
      receive(w, cutStreams("beside", 87, 0, 0, 173, 116, 0, 120, 130));
      assertTrue(isSent(w, "/stream/a", FIRST, "beside"));
    }

    /** Guards against a part that is cleared by the stream with which an upstream has ended. */
    @Test
    public void streamThatEndsWithTheCrashDoesNotRefuteReports() {
      RelayWorld w = world();
      send(w, FIRST, DEADLY);
      w.began();
      w.pass(160);
      String crashed = w.sent().upstream().name().value();
      receive(w, report(DEADLY, 1, 0, crashed, "other-1", "other-2"));
      assertFalse(isSent(w, "/stream/a", FIRST, DEADLY));
    }

    @Test
    public void upstreamsThatCrashTogetherCountOnce() {
      RelayWorld w = world();
      receive(
          w,
          new CrashSuspect(
              fingerprint("popular"),
              new SuspectScope.PromptPart(1),
              0,
              ImmutableMap.of(
                  RelayWorld.incarnation("a"), aged(100, 300),
                  RelayWorld.incarnation("b"), aged(90, 200),
                  RelayWorld.incarnation("c"), aged(80, 150),
                  RelayWorld.incarnation("d"), aged(70, 110)),
              ImmutableSet.of()));
      assertTrue(isSent(w, "/stream/a", FIRST, "popular"));
    }

    private static CrashSuspect.Crash aged(long ageMillis, long sentAgeMillis) {
      return new CrashSuspect.Crash(ageMillis * RelayWorld.MILLI, sentAgeMillis * RelayWorld.MILLI);
    }

    /** Guards against a first part that goes on crashing upstreams after the fifth crash. */
    @Test
    public void firstPartNeedsFiveCrashes() {
      RelayWorld w = world();
      receive(w, report(FIRST, 0, 0, "a", "b", "c", "d"));
      assertTrue(isSent(w, "/stream/a", FIRST));
      receive(w, report(FIRST, 0, 0, "a", "b", "c", "d", "e"));
      assertFalse(isSent(w, "/stream/a", FIRST));
    }

    /** Guards against a first part that is refused for long after few events. */
    @Test
    public void firstPartIsSentAgainSoonAfterFiveCrashes() {
      RelayWorld w = world();
      receive(w, report(FIRST, 0, 0, "a", "b", "c", "d", "e"));
      w.skip(125_000);
      assertTrue(isSent(w, "/stream/a", FIRST));
      receive(w, report(FIRST, 0, 0, "a", "b", "c", "d", "e", "f", "g", "h"));
      w.skip(125_000);
      assertFalse(isSent(w, "/stream/a", FIRST));
    }

    private static RelayWorld crashedAtOnce(String part, int position, int upstreams) {
      RelayWorld w = world();
      ImmutableMap.Builder<UpstreamIncarnation, CrashSuspect.Crash> crashes =
          ImmutableMap.builder();
      for (int i = 0; i < upstreams; i++) {
        crashes.put(RelayWorld.incarnation("engine-" + i), aged(100, 200));
      }
      receive(
          w,
          new CrashSuspect(
              fingerprint(part),
              new SuspectScope.PromptPart(position),
              0,
              crashes.buildOrThrow(),
              ImmutableSet.of()));
      return w;
    }

    /** Guards against requests at the same moment whose crashes count once each time. */
    @Test
    public void fiveUpstreamsThatCrashTogetherSuffice() {
      assertTrue(isSent(crashedAtOnce(DEADLY, 1, 4), "/stream/a", FIRST, DEADLY));
      assertFalse(isSent(crashedAtOnce(DEADLY, 1, 5), "/stream/a", FIRST, DEADLY));
      assertFalse(isSent(crashedAtOnce(FIRST, 0, 5), "/stream/a", FIRST));
    }

    /** Guards against a sound part that is refused for long after a rack has lost power. */
    @Test
    public void partIsSentAgainSoonAfterUpstreamsCrashedTogether() {
      RelayWorld w = crashedAtOnce("popular", 1, 8);
      w.skip(125_000);
      assertTrue(isSent(w, "/stream/a", FIRST, "popular"));
    }

    /** Guards against a sound part that is charged with the loss of a rack. */
    @Test
    public void partThatWasServedIsNotChargedWithUpstreamsThatCrashTogether() {
      RelayWorld w = world();
      send(w, FIRST, "popular");
      w.began();
      w.answered(AnswerGrade.GOOD);
      receive(w, report("popular", 1, 0, "run-1", "run-2", "run-3", "run-4", "other-1"));
      assertTrue(isSent(w, "/stream/a", FIRST, "popular"));
    }

    @Test
    public void crashesOfQuarantinedRequestAreNotThoseOfItsParts() {
      RelayWorld w = world();
      for (int i = 1; i <= 3; i++) {
        w.arriveWithBodyAndPrompt("/stream/a", SMALL, "the same body", FIRST, "sound");
        w.promptRead();
        crashUpstream(w, i);
      }
      assertTrue(isSent(w, "/stream/a", FIRST, "sound"));
      int sends = w.sendCount();
      w.arriveWithBodyAndPrompt("/stream/a", SMALL, "the same body", FIRST, "sound");
      assertEquals(w.sendCount(), sends);
    }
  }

  /** The exchange between nodes. */
  public static class Exchange {
    @Test
    public void refusesWaitingCallsImmediately() {
      RelayWorld w = world();
      w.remove("run-1", "run-2", "run-3", "run-4");
      w.pass(1_600);
      w.arriveWithPrompt("/stream/a", SMALL, FIRST, DEADLY);
      assertFalse(w.isRefused());
      receive(w, report(DEADLY, 1, 0, "a", "b", "c"));
      assertEquals(w.refusal(), ErrorKind.QUARANTINED);
    }

    @Test
    public void preventsTheRunOfPromptsThatAreBeingPrefilled() {
      RelayWorld w = world();
      w.arriveWithPrompt("/stream/a", SMALL, FIRST, DEADLY);
      receive(w, report(DEADLY, 1, 0, "a", "b", "c"));
      int sends = w.sendCount();
      w.promptRead();
      assertEquals(w.sendCount(), sends);
      assertEquals(w.refusal(), ErrorKind.QUARANTINED);
    }

    @Test
    public void refutesReportsOfPartsThatWereServedHere() {
      RelayWorld w = world();
      send(w, FIRST, "popular");
      w.began();
      w.answered(AnswerGrade.GOOD);
      receive(w, report("popular", 1, 0, "run-1", "run-2", "run-3"));
      assertTrue(isSent(w, "/stream/a", FIRST, "popular"));
      CrashSuspect answer = w.router.suspects(w.now()).getFirst();
      assertEquals(answer.clearanceEpoch(), 1);
      assertTrue(answer.crashes().isEmpty());
    }

    @Test
    public void refutesReportsOfPartsWhoseStreamsAreRunningHere() {
      RelayWorld w = world();
      send(w, FIRST, "popular");
      w.began();
      w.pass(600);
      receive(w, report("popular", 1, 0, "run-1", "run-2", "run-3"));
      assertTrue(isSent(w, "/stream/a", FIRST, "popular"));
    }

    /** Lets an upstream crash under a stream with a part; returns another upstream. */
    private static String cutStreamHere(RelayWorld w, String part, int streamedMillis) {
      send(w, FIRST, part);
      w.began();
      w.pass(streamedMillis);
      String crashed = w.sent().upstream().name().value();
      crashUpstream(w, 1);
      return crashed.equals("run-1") ? "run-2" : "run-1";
    }

    private static CrashSuspect known(RelayWorld w, String part) {
      return w.router.suspects(w.now()).stream()
          .filter(s -> s.id().equals(fingerprint(part)))
          .findFirst()
          .orElseThrow();
    }

    /**
     * Guards against a part whose crashes were forgotten on all nodes, since a peer had sent a
     * request with it just before that of another node crashed the upstream.
     */
    @Test
    public void streamThatWasCutByCrashDoesNotRefuteReportOfRequestThatHadJustBegun() {
      RelayWorld w = world();
      String other = cutStreamHere(w, DEADLY, 314);
      receive(w, report(DEADLY, 1, 0, other));
      assertEquals(known(w, DEADLY).clearanceEpoch(), 0);
      assertEquals(known(w, DEADLY).crashes().size(), 2);
    }

    /** Sound requests must not be refused since one of their streams was cut, too. */
    @Test
    public void streamThatWasCutByCrashRefutesReportOfMoreCrashesBeforeTheFirstEvent() {
      RelayWorld w = world();
      String other = cutStreamHere(w, "popular", 314);
      receive(w, report("popular", 1, 0, other, "run-3"));
      assertEquals(known(w, "popular").clearanceEpoch(), 1);
      assertTrue(known(w, "popular").crashes().isEmpty());
    }

    /** Nodes of an earlier build pass parts on as requests, of which three crashes suffice. */
    @Test
    public void weighsPartsThatAreReportedAsRequests() {
      RelayWorld w = world();
      CrashSuspect s = report(FIRST, 0, 0, "a", "b", "c", "d");
      receive(w, new CrashSuspect(s.id(), SuspectScope.REQUEST, 0, s.crashes(), ImmutableSet.of()));
      assertTrue(isSent(w, "/stream/a", FIRST, "sound"));
    }

    @Test
    public void reportsAllSuspectsOfCrashTogether() {
      RelayWorld w = world();
      crash(w, 1, FIRST, DEADLY);
      assertEquals(w.of(RelayEffect.ReportSuspects.class).size(), 1);
      ImmutableList<CrashSuspect> suspects =
          w.of(RelayEffect.ReportSuspects.class).getFirst().suspects();
      assertEquals(
          suspects.stream().map(s -> s.scope().word()).toList(),
          Arrays.asList("request", "prompt_part", "prompt_part"));
      assertEquals(
          suspects.get(0).wider(), ImmutableSet.of(fingerprint(DEADLY), fingerprint(FIRST)));
      assertEquals(suspects.get(1).wider(), ImmutableSet.of(fingerprint(FIRST)));
    }
  }

  /** Callers that invent many parts. */
  public static class ManyParts {
    @Test
    public void areBoundedAndQuarantinedOnesAreKept() {
      RelayWorld w = world();
      receive(w, report(DEADLY, 1, 0, "a", "b", "c"));
      for (int i = 0; i < 2_000; i++) {
        receive(w, report("made up " + i, 1, 0, "a"));
      }
      assertTrue(w.router.suspects(w.now()).size() <= 512);
      assertFalse(isSent(w, "/stream/a", FIRST, DEADLY));
    }

    @Test
    public void doNotDisplaceRequests() {
      RelayWorld w = world();
      w.arriveWithBodyAndPrompt("/stream/a", SMALL, "body", FIRST, "sound");
      w.promptRead();
      crashUpstream(w, 1);
      for (int i = 0; i < 2_000; i++) {
        receive(w, report("made up " + i, 1, 0, "a"));
      }
      assertTrue(
          w.router.suspects(w.now()).stream()
              .anyMatch(s -> s.scope() instanceof SuspectScope.Request));
    }

    @Test
    public void areToldApartUpToBound() {
      RelayWorld w = world();
      String[] parts = new String[100];
      Arrays.setAll(parts, i -> "part-" + i);
      crash(w, 1, parts);
      assertEquals(w.of(RelayEffect.ReportSuspects.class).getFirst().suspects().size(), 33);
    }
  }
}
