/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.event.FailureCause;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.UpstreamIncarnation;
import org.testng.annotations.Test;

/**
 * Guards against a request that crashes one upstream after the other: tests how one node detects
 * it, quarantines it and clears it.
 */
public class CrashingRequestsTest {
  private static final CallSize SMALL = new CallSize(2_000, 1_000, 1_000);
  private static final String BODY = "crash";

  private static RelayWorld world() {
    RelayWorld w = RelayWorld.withDefaults();
    w.add("run-3", RelayWorld.MODEL, Stage.DECODE);
    w.add("run-4", RelayWorld.MODEL, Stage.DECODE);
    w.applyDiscoveryList();
    return w;
  }

  /** Sends the request, and lets the upstream that runs it crash and restart. */
  private static void crash(RelayWorld w, String path, long incarnation) {
    w.arriveWithBody(path, SMALL, BODY);
    w.promptRead();
    String crashed = w.sent().upstream().name().value();
    w.lost();
    w.restart(crashed, incarnation);
    w.pass(1_000);
  }

  /** After three crashes. */
  public static class AfterThreeCrashes {
    @Test
    public void isNotSentAgain() {
      RelayWorld w = world();
      for (int i = 1; i <= 3; i++) {
        crash(w, "/stream/a", i);
      }
      int sends = w.sendCount();
      w.arriveWithBody("/stream/a", SMALL, BODY);
      assertEquals(w.sendCount(), sends);
      assertEquals(w.refusal().status(), 503, "it has not run");
      assertTrue(w.refused().retryAfterMillis() > 0, "Retry-After is set");
    }

    @Test
    public void othersOfTheSamePathAreSent() {
      RelayWorld w = world();
      for (int i = 1; i <= 3; i++) {
        crash(w, "/stream/a", i);
      }
      int sends = w.sendCount();
      w.arriveWithBody("/stream/a", SMALL, "other");
      assertEquals(w.sendCount(), sends + 1);
    }
  }

  /** After two crashes. */
  public static class AfterTwoCrashes {
    @Test
    public void isStillSent() {
      RelayWorld w = world();
      crash(w, "/stream/a", 1);
      crash(w, "/stream/a", 2);
      int sends = w.sendCount();
      w.arriveWithBody("/stream/a", SMALL, BODY);
      assertEquals(w.sendCount(), sends + 1);
    }
  }

  private static Fingerprint fingerprint() {
    return new RequestIdentity("POST", "a.example", "/stream/a", "", BODY.getBytes(US_ASCII))
        .fingerprint();
  }

  /** Answers the last probe. */
  private static void answerProbe(RelayWorld w, ProbeResult result) {
    RelayEffect.Probe probe = w.of(RelayEffect.Probe.class).getLast();
    w.apply(new RelayEvent.Probed(w.now(), probe.upstream().incarnation(), probe.path(), result));
  }

  /** Breaks the connection of the request at an upstream and answers the probe of that upstream. */
  private static void breakConnection(RelayWorld w, ProbeResult result) {
    w.arriveWithBody("/stream/a", SMALL, BODY);
    w.promptRead();
    w.lost();
    answerProbe(w, result);
    w.pass(9_000);
  }

  private static CrashSuspect report(
      Fingerprint request, int epoch, long ageMillis, String... crashed) {
    long age = ageMillis * RelayWorld.MILLI;
    ImmutableMap.Builder<UpstreamIncarnation, CrashSuspect.Crash> ends = ImmutableMap.builder();
    for (String name : crashed) {
      ends.put(RelayWorld.incarnation(name), new CrashSuspect.Crash(age, age));
    }
    return new CrashSuspect(
        request, SuspectScope.REQUEST, epoch, ends.buildOrThrow(), ImmutableSet.of());
  }

  private static boolean isSent(RelayWorld w) {
    int sends = w.sendCount();
    w.arriveWithBody("/stream/a", SMALL, BODY);
    return w.sendCount() > sends;
  }

  /** Receives another node's report of crashes some time ago. */
  private static void receiveReport(RelayWorld w, int epoch, long ageMillis, String... crashed) {
    CrashSuspect report = report(fingerprint(), epoch, ageMillis, crashed);
    w.apply(new RelayEvent.SuspectsHeard(w.now(), ImmutableList.of(report)));
  }

  /** The evidence that counts as a crash of an upstream, and the requests that become suspect. */
  public static class Proof {
    @Test
    public void refusedProbeIsProof() {
      RelayWorld w = world();
      for (int i = 0; i < 3; i++) {
        breakConnection(w, ProbeResult.REFUSES);
      }
      assertFalse(isSent(w));
    }

    @Test
    public void brokenConnectionIsNoProof() {
      RelayWorld w = world();
      for (int i = 0; i < 6; i++) {
        breakConnection(w, i % 2 == 0 ? ProbeResult.LISTENS : ProbeResult.SILENT);
      }
      assertTrue(isSent(w));
    }

    @Test
    public void timeoutIsNoProof() {
      RelayWorld w = world();
      for (int i = 0; i < 6; i++) {
        w.arriveWithBody("/stream/a", SMALL, BODY);
        w.promptRead();
        RelayEffect.Send sent = w.sent();
        w.apply(new RelayEvent.Lost(w.now(), sent.attempt(), FailureCause.TIMED_OUT));
        w.restart(sent.upstream().name().value(), i + 1);
        w.pass(9_000);
      }
      assertTrue(isSent(w));
    }

    @Test
    public void streamsThatHaveRunForSomeTimeAreNotSuspected() {
      RelayWorld w = world();
      for (int i = 1; i <= 4; i++) {
        w.arriveWithBody("/stream/a", SMALL, BODY);
        w.promptRead();
        w.began();
        w.pass(1_100);
        String ended = w.sent().upstream().name().value();
        w.lost();
        w.restart(ended, i);
        w.pass(9_000);
      }
      assertTrue(isSent(w));
    }

    @Test
    public void streamsThatHaveJustStartedAreSuspected() {
      RelayWorld w = world();
      for (int i = 1; i <= 3; i++) {
        w.arriveWithBody("/stream/a", SMALL, BODY);
        w.promptRead();
        w.began();
        w.pass(200);
        String ended = w.sent().upstream().name().value();
        w.lost();
        w.restart(ended, i);
        w.pass(9_000);
      }
      assertFalse(isSent(w));
    }

    @Test
    public void announcedStopIsNoProof() {
      RelayWorld w = world();
      for (int i = 1; i <= 4; i++) {
        w.add("new-" + i, RelayWorld.MODEL, Stage.DECODE);
        w.arriveWithBody("/stream/a", SMALL, BODY);
        w.promptRead();
        String leaving = w.sent().upstream().name().value();
        w.leave(leaving);
        w.lost();
        w.remove(leaving);
        w.pass(9_000);
      }
      assertTrue(isSent(w));
    }

    @Test
    public void oneProbeIsSentForConnectionsThatBreakTogether() {
      RelayWorld w = RelayWorld.withDefaults();
      w.remove("app-2");
      w.arrive("/once/a");
      RelayEffect.Send first = w.sent();
      w.arrive("/once/b");
      w.apply(new RelayEvent.Lost(w.now(), first.attempt(), FailureCause.CONNECTION_LOST));
      w.lost();
      assertEquals(w.of(RelayEffect.Probe.class).size(), 1);
    }
  }

  /** The exchange of suspect requests between nodes. */
  public static class Exchange {
    @Test
    public void addsReportedCrashesToLocalOnes() {
      RelayWorld w = world();
      crash(w, "/stream/a", 1);
      receiveReport(w, 0, 500, "elsewhere-1", "elsewhere-2");
      assertFalse(isSent(w));
    }

    @Test
    public void countsEachCrashOnce() {
      RelayWorld w = world();
      crash(w, "/stream/a", 1);
      for (int i = 0; i < 5; i++) {
        receiveReport(w, 0, 500 + i, "elsewhere-1");
      }
      assertTrue(isSent(w));
    }

    @Test
    public void refusesWaitingCallsImmediately() {
      RelayWorld w = world();
      w.remove("run-1", "run-2", "run-3", "run-4");
      w.pass(1_600);
      w.arriveWithBody("/stream/a", SMALL, BODY);
      assertFalse(w.isRefused());
      receiveReport(w, 0, 500, "a", "b", "c");
      assertEquals(w.refusal(), ErrorKind.QUARANTINED);
    }

    @Test
    public void preventsTheRunOfPromptsThatAreBeingPrefilled() {
      RelayWorld w = world();
      w.arriveWithBody("/stream/a", SMALL, BODY);
      receiveReport(w, 0, 500, "a", "b", "c");
      int sends = w.sendCount();
      w.promptRead();
      assertEquals(w.sendCount(), sends);
      assertEquals(w.refusal(), ErrorKind.QUARANTINED);
      assertEquals(w.of(RelayEffect.Free.class).size(), 1);
    }

    @Test
    public void reportsTheAgeOfEachCrash() {
      RelayWorld w = world();
      receiveReport(w, 0, 500, "a", "b", "c");
      w.pass(1_000);
      CrashSuspect report = w.router.suspects(w.now()).getFirst();
      assertEquals(
          report.crashes().get(RelayWorld.incarnation("a")).ageNanos(), 1_500 * RelayWorld.MILLI);
    }

    @Test
    public void reportsOwnObservationsOnce() {
      RelayWorld w = world();
      crash(w, "/stream/a", 1);
      assertEquals(w.of(RelayEffect.ReportSuspects.class).size(), 1);
      receiveReport(w, 0, 500, "a");
      assertEquals(
          w.of(RelayEffect.ReportSuspects.class).size(),
          1,
          "the report of another node is not forwarded");
    }
  }

  /** The ways in which a request is cleared or released. */
  public static class Clearance {
    @Test
    public void byCompleteAnswer() {
      RelayWorld w = world();
      crash(w, "/stream/a", 1);
      crash(w, "/stream/a", 2);
      w.arriveWithBody("/stream/a", SMALL, BODY);
      w.promptRead();
      w.began();
      w.answered(AnswerGrade.GOOD);
      crash(w, "/stream/a", 3);
      assertTrue(isSent(w));
    }

    @Test
    public void byOperatorOnAllNodes() {
      RelayWorld w = world();
      receiveReport(w, 0, 500, "a", "b", "c");
      w.apply(new RelayEvent.Released(w.now(), fingerprint()));
      assertTrue(isSent(w));
      ImmutableList<CrashSuspect> reports =
          w.of(RelayEffect.ReportSuspects.class).getLast().suspects();
      assertEquals(reports, ImmutableList.of(report(fingerprint(), 1, 0)));
    }

    @Test
    public void isNotUndoneByOlderReports() {
      RelayWorld w = world();
      receiveReport(w, 1, 0);
      receiveReport(w, 0, 500, "a", "b", "c");
      assertTrue(isSent(w));
    }

    @Test
    public void byTimeUntilOneMoreCrash() {
      RelayWorld w = world();
      receiveReport(w, 0, 0, "a", "b", "c");
      long first = untilSent(w);
      assertTrue(first >= 600_000 && first <= 660_000, first + " ms");
      receiveReport(w, 0, 0, "d");
      long second = untilSent(w);
      assertTrue(second >= 1_200_000 && second <= 1_260_000, second + " ms");
    }

    /**
     * Asserts that the request is sent after the Retry-After and not before; returns that delay in
     * milliseconds.
     */
    private static long untilSent(RelayWorld w) {
      assertFalse(isSent(w));
      long millis = w.refused().retryAfterMillis();
      w.skip(millis - 1_000);
      assertFalse(isSent(w));
      w.skip(1_005);
      assertTrue(isSent(w));
      return millis;
    }
  }

  /** Callers that invent many different requests. */
  public static class ManyRequests {
    @Test
    public void areBoundedAndQuarantinedOnesAreKept() {
      RelayWorld w = world();
      receiveReport(w, 0, 0, "a", "b", "c");
      for (int i = 0; i < 2_000; i++) {
        CrashSuspect other = report(Fingerprint.of("made up " + i), 0, 0, "a");
        w.apply(new RelayEvent.SuspectsHeard(w.now(), ImmutableList.of(other)));
      }
      assertTrue(w.router.suspects(w.now()).size() <= 512);
      assertFalse(isSent(w));
    }
  }
}
