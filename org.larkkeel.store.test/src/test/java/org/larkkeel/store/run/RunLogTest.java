/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.run;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.larkkeel.store.Fault;
import org.larkkeel.store.run.ClaimResult.AlreadyDone;
import org.larkkeel.store.run.ClaimResult.Claimed;
import org.larkkeel.store.run.ClaimResult.InProgress;
import org.larkkeel.store.run.ClaimResult.KeyReused;
import org.larkkeel.store.run.ClaimResult.Unavailable;
import org.larkkeel.store.run.ClaimResult.Unknown;
import org.larkkeel.store.run.RunRig.Host;
import org.testng.annotations.Test;

/** Tests of {@link RunLog}. */
public class RunLogTest {
  private static final String D = "digest";

  private static Host alone(RunRig rig) {
    Host a = rig.host("a");
    a.log.setMembers(RunRig.members(a));
    rig.time.advance(Duration.ofSeconds(1));
    return a;
  }

  private static RunOutcome answered(String body) {
    return new RunOutcome.Answered(new RecordedAnswer(200, "text/plain", body.getBytes(UTF_8)));
  }

  private static String body(ClaimResult r) {
    return new String(((AlreadyDone) r).answer().orElseThrow().body(), UTF_8);
  }

  /** One owner, no faults. */
  public static class Answers {

    @Test
    public void firstClaimWinsAndRetriesGetTheAnswer() {
      RunRig rig = new RunRig();
      Host a = alone(rig);
      Claimed c = (Claimed) a.claim("k", D);
      assertEquals(a.claim("k", D), new InProgress());
      assertEquals(a.claim("k", "other"), new KeyReused());
      assertEquals(
          rig.await(a.log.record(RunRig.id("k"), c.token(), answered("yes"))),
          RecordResult.RECORDED);
      assertEquals(body(a.claim("k", D)), "yes");
      assertEquals(
          rig.await(a.log.record(RunRig.id("k"), c.token(), answered("no"))),
          RecordResult.RECORDED);
      assertEquals(body(a.claim("k", D)), "yes");
    }

    @Test
    public void sameAttemptMayAskAgain() {
      RunRig rig = new RunRig();
      Host a = alone(rig);
      ClaimRequest q = new ClaimRequest(RunRig.id("k"), D, a.token());
      CompletableFuture<ClaimResult> first = a.log.claim(q);
      CompletableFuture<ClaimResult> again = a.log.claim(q);
      assertEquals(rig.await(first), new Claimed(q.token()));
      assertEquals(rig.await(again), new Claimed(q.token()));
      assertEquals(rig.await(a.log.claim(q)), new Claimed(q.token()));
    }

    @Test
    public void releasedKeyMayBeClaimedAgainButNotByAnOldOutcome() {
      RunRig rig = new RunRig();
      Host a = alone(rig);
      Claimed c = (Claimed) a.claim("k", D);
      rig.await(a.log.record(RunRig.id("k"), c.token(), new RunOutcome.NotRun()));
      assertTrue(a.claim("k", D) instanceof Claimed);
      assertEquals(
          rig.await(a.log.record(RunRig.id("k"), c.token(), answered("late"))),
          RecordResult.NO_SUCH_RUN);
    }

    @Test
    public void largeAndOldAnswersAreDroppedButTheirRunsStayDone() {
      RunRig rig = new RunRig();
      Host a = alone(rig);
      for (String key : List.of("k1", "k2", "k3", "k4", "k5", "k6", "k7")) {
        Claimed c = (Claimed) a.claim(key, D);
        rig.await(a.log.record(RunRig.id(key), c.token(), answered("8 bytes!")));
      }
      Claimed large = (Claimed) a.claim("large", D);
      rig.await(a.log.record(RunRig.id("large"), large.token(), answered("9 bytes!!")));
      assertFalse(((AlreadyDone) a.claim("large", D)).answer().isPresent());
      long kept =
          List.of("k1", "k2", "k3", "k4", "k5", "k6", "k7").stream()
              .filter(k -> ((AlreadyDone) a.claim(k, D)).answer().isPresent())
              .count();
      assertTrue(kept >= 2 && kept <= 4, "answers kept in 2 shards of 20 bytes: " + kept);
    }

    @Test
    public void runsAreForgottenAfterTheRetention() {
      RunRig rig = new RunRig();
      Host a = alone(rig);
      assertTrue(a.claim("k", D) instanceof Claimed);
      rig.time.advance(Duration.ofMinutes(59));
      assertEquals(a.claim("k", D), new InProgress());
      rig.time.advance(Duration.ofMinutes(2));
      assertTrue(a.claim("k", D) instanceof Claimed);
    }
  }

  /** Faults of the store. */
  public static class StoreFaults {

    @Test
    public void outageIsToldAsNotRunAndNothingIsLeft() {
      RunRig rig = new RunRig();
      Host a = alone(rig);
      rig.store.setOutage(true);
      assertEquals(a.claim("k", D), new Unavailable());
      rig.store.setOutage(false);
      rig.time.advance(Duration.ofSeconds(10));
      assertTrue(rig.records(RunRig.OPTIONS).isEmpty());
      assertTrue(a.claim("k", D) instanceof Claimed);
    }

    @Test
    public void lostAnswerIsResolvedToClaimed() {
      RunRig rig = new RunRig();
      Host a = alone(rig);
      List<Fault> faults = new ArrayList<>(List.of(Fault.LOSE_ANSWER));
      a.api.setWriteFaults(() -> faults.isEmpty() ? Fault.NONE : faults.removeFirst());
      assertTrue(a.claim("k", D) instanceof Claimed);
      assertEquals(rig.records(RunRig.OPTIONS).size(), 1);
    }

    @Test
    public void claimThatCanNotBeResolvedIsUnknownForEverAndLaterOnesAreNotRun() {
      RunRig rig = new RunRig();
      Host a = alone(rig);
      a.api.setWriteFaults(() -> Fault.LOSE_ANSWER);
      a.api.setReadFaults(() -> Fault.REFUSE);
      assertEquals(a.claim("k", D), new Unknown());
      assertEquals(a.claim("k", D), new InProgress());
      a.api.setWriteFaults(() -> Fault.NONE);
      a.api.setReadFaults(() -> Fault.NONE);
      rig.time.advance(Duration.ofSeconds(10));
      assertEquals(a.claim("k", D), new Unknown());
    }
  }

  /** Take-overs. */
  public static class Owners {

    @Test
    public void newOwnerKnowsWhatRanAndWhatMayHaveRun() {
      RunRig rig = new RunRig();
      Host a = alone(rig);
      Claimed done = (Claimed) a.claim("done", D);
      rig.await(a.log.record(RunRig.id("done"), done.token(), answered("yes")));
      a.claim("open", D);
      for (int i = 0; i < 30; i++) {
        a.claim("filler" + i, D);
      }
      Host b = rig.host("b");
      b.log.setMembers(RunRig.members(b));
      rig.time.advance(Duration.ofSeconds(5));
      assertEquals(body(b.claim("done", D)), "yes");
      assertEquals(b.claim("open", D), new InProgress());
      a.kill();
      assertEquals(b.claim("open", D), new Unknown());
    }

    @Test
    public void claimantMayReportToTheNewOwner() {
      RunRig rig = new RunRig();
      Host a = alone(rig);
      Claimed c = (Claimed) a.claim("k", D);
      Host b = rig.host("b");
      b.log.setMembers(RunRig.members(b));
      rig.time.advance(Duration.ofSeconds(5));
      assertEquals(
          rig.await(b.log.record(RunRig.id("k"), c.token(), answered("yes"))),
          RecordResult.RECORDED);
      assertEquals(body(b.claim("k", D)), "yes");
    }

    @Test
    public void pausedOwnerFailsItsNextAppendEvenAfterTruncation() {
      RunRig rig = new RunRig();
      Host a = alone(rig);
      a.claim("early", D);
      a.process.pause();
      Host b = rig.host("b");
      b.log.setMembers(RunRig.members(b));
      rig.time.advance(Duration.ofSeconds(5));
      for (int i = 0; i < 40; i++) {
        assertTrue(b.claim("k" + i, D) instanceof Claimed);
      }
      rig.time.advance(Duration.ofSeconds(5));
      a.process.resume();
      for (int i = 0; i < 40; i++) {
        ClaimResult r = a.claim("k" + i, D);
        assertFalse(r instanceof Claimed, "claimed twice: k" + i);
      }
    }

    @Test
    public void slowTakeOverOfTruncatedPlaceDoesNotOwn() {
      RunRig rig = new RunRig();
      Host slow = rig.host("slow");
      slow.api.setOneWay(Duration.ofSeconds(2));
      slow.log.setMembers(RunRig.members(slow));
      Host a = alone(rig);
      rig.time.advance(Duration.ofMillis(7500));
      for (int i = 0; i < 40; i++) {
        assertTrue(a.claim("k" + i, D) instanceof Claimed);
      }
      slow.api.setOneWay(Duration.ofMillis(1));
      rig.time.advance(Duration.ofSeconds(10));
      for (int i = 0; i < 40; i++) {
        assertFalse(slow.claim("k" + i, D) instanceof Claimed, "claimed twice: k" + i);
      }
    }

    @Test
    public void hostOutsideTheMembersOwnsNothing() {
      RunRig rig = new RunRig();
      Host a = rig.host("a");
      Host b = rig.host("b");
      a.log.setMembers(RunRig.members(b));
      rig.time.advance(Duration.ofSeconds(1));
      assertTrue(a.claim("k", D) instanceof ClaimResult.NotOwner n && n.owner().isPresent());
      a.log.setMembers(ImmutableSet.of());
      assertTrue(a.claim("k", D) instanceof ClaimResult.NotOwner n && n.owner().isEmpty());
    }
  }

  /** The cost. */
  public static class Cost {

    @Test
    public void writesDoNotGrowWithRequests() {
      for (int perSecond : new int[] {20, 200, 1000}) {
        RunRig rig = new RunRig();
        Host a = rig.new Host("a", 1, RunLogOptions.DEFAULT);
        a.log.setMembers(RunRig.members(a));
        rig.time.advance(Duration.ofSeconds(1));
        final int before = rig.store.writes();
        final int seconds = 60;
        List<CompletableFuture<ClaimResult>> claims = new ArrayList<>();
        for (int i = 0; i < perSecond * seconds; i++) {
          claims.add(a.log.claim(new ClaimRequest(RunRig.id("k" + i), D, a.token())));
          rig.time.advance(Duration.ofNanos(1_000_000_000L / perSecond));
        }
        double writes = (rig.store.writes() - before) / (double) seconds;
        claims.forEach(c -> assertTrue(rig.await(c) instanceof Claimed));
        System.out.printf("claims/s=%d store writes/s=%.1f%n", perSecond, writes);
        int bound = 2 * 4 * 20 + 10;
        assertTrue(writes <= bound, perSecond + " claims/s made writes/s: " + writes);
      }
    }
  }
}
