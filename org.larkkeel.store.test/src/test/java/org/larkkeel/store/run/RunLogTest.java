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

/** Tests {@link RunLog}. */
public class RunLogTest {
  private static final String DIGEST = "digest";

  private static Host startSingleHost(RunRig rig) {
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

  /** One owner without faults: results of claims and records. */
  public static class WithoutFaults {

    @Test
    public void firstClaimWinsAndRetriesGetTheAnswer() {
      RunRig rig = new RunRig();
      Host a = startSingleHost(rig);
      Claimed c = (Claimed) a.claim("k", DIGEST);
      assertEquals(a.claim("k", DIGEST), new InProgress());
      assertEquals(a.claim("k", "other"), new KeyReused());
      assertEquals(
          rig.await(a.log.record(RunRig.id("k"), c.token(), answered("yes"))),
          RecordResult.RECORDED);
      assertEquals(body(a.claim("k", DIGEST)), "yes");
      assertEquals(
          rig.await(a.log.record(RunRig.id("k"), c.token(), answered("no"))),
          RecordResult.RECORDED);
      assertEquals(body(a.claim("k", DIGEST)), "yes");
    }

    @Test
    public void sameAttemptMayRepeatItsClaim() {
      RunRig rig = new RunRig();
      Host a = startSingleHost(rig);
      ClaimRequest q = new ClaimRequest(RunRig.id("k"), DIGEST, a.token());
      CompletableFuture<ClaimResult> first = a.log.claim(q);
      CompletableFuture<ClaimResult> again = a.log.claim(q);
      assertEquals(rig.await(first), new Claimed(q.token()));
      assertEquals(rig.await(again), new Claimed(q.token()));
      assertEquals(rig.await(a.log.claim(q)), new Claimed(q.token()));
    }

    @Test
    public void releasedKeyMayBeClaimedAgainAndIgnoresTheOldAttempt() {
      RunRig rig = new RunRig();
      Host a = startSingleHost(rig);
      Claimed c = (Claimed) a.claim("k", DIGEST);
      rig.await(a.log.record(RunRig.id("k"), c.token(), new RunOutcome.NotRun()));
      assertTrue(a.claim("k", DIGEST) instanceof Claimed);
      assertEquals(
          rig.await(a.log.record(RunRig.id("k"), c.token(), answered("late"))),
          RecordResult.NO_SUCH_RUN);
    }

    @Test
    public void largeAndOldAnswersAreDroppedButTheirRunsStayDone() {
      RunRig rig = new RunRig();
      Host a = startSingleHost(rig);
      for (String key : List.of("k1", "k2", "k3", "k4", "k5", "k6", "k7")) {
        Claimed c = (Claimed) a.claim(key, DIGEST);
        rig.await(a.log.record(RunRig.id(key), c.token(), answered("8 bytes!")));
      }
      Claimed large = (Claimed) a.claim("large", DIGEST);
      rig.await(a.log.record(RunRig.id("large"), large.token(), answered("9 bytes!!")));
      assertFalse(((AlreadyDone) a.claim("large", DIGEST)).answer().isPresent());
      long kept =
          List.of("k1", "k2", "k3", "k4", "k5", "k6", "k7").stream()
              .filter(k -> ((AlreadyDone) a.claim(k, DIGEST)).answer().isPresent())
              .count();
      assertTrue(kept >= 2 && kept <= 4, "answers kept in 2 shards of 20 bytes: " + kept);
    }

    @Test
    public void runsAreDroppedAfterTheRetention() {
      RunRig rig = new RunRig();
      Host a = startSingleHost(rig);
      assertTrue(a.claim("k", DIGEST) instanceof Claimed);
      rig.time.advance(Duration.ofMinutes(59));
      assertEquals(a.claim("k", DIGEST), new InProgress());
      rig.time.advance(Duration.ofMinutes(2));
      assertTrue(a.claim("k", DIGEST) instanceof Claimed);
    }
  }

  /** Outages of the store and lost responses during a claim. */
  public static class StoreFaults {

    @Test
    public void claimDuringOutageIsUnavailableAndLeavesNoRecord() {
      RunRig rig = new RunRig();
      Host a = startSingleHost(rig);
      rig.store.setOutage(true);
      assertEquals(a.claim("k", DIGEST), new Unavailable());
      rig.store.setOutage(false);
      rig.time.advance(Duration.ofSeconds(10));
      assertTrue(rig.records(RunRig.OPTIONS).isEmpty());
      assertTrue(a.claim("k", DIGEST) instanceof Claimed);
    }

    @Test
    public void lostAnswerIsResolvedToClaimed() {
      RunRig rig = new RunRig();
      Host a = startSingleHost(rig);
      List<Fault> faults = new ArrayList<>(List.of(Fault.LOSE_ANSWER));
      a.api.setWriteFaults(() -> faults.isEmpty() ? Fault.NONE : faults.removeFirst());
      assertTrue(a.claim("k", DIGEST) instanceof Claimed);
      assertEquals(rig.records(RunRig.OPTIONS).size(), 1);
    }

    @Test
    public void unresolvedClaimStaysUnknownAndIsNeverRunAgain() {
      RunRig rig = new RunRig();
      Host a = startSingleHost(rig);
      a.api.setWriteFaults(() -> Fault.LOSE_ANSWER);
      a.api.setReadFaults(() -> Fault.REFUSE);
      assertEquals(a.claim("k", DIGEST), new Unknown());
      assertEquals(a.claim("k", DIGEST), new InProgress());
      a.api.setWriteFaults(() -> Fault.NONE);
      a.api.setReadFaults(() -> Fault.NONE);
      rig.time.advance(Duration.ofSeconds(10));
      assertEquals(a.claim("k", DIGEST), new Unknown());
    }
  }

  /** Take-over of shards: a paused, delayed or former owner must not claim a request again. */
  public static class OwnerChanges {

    @Test
    public void newOwnerKnowsDoneAndPossiblyExecutedRuns() {
      RunRig rig = new RunRig();
      Host a = startSingleHost(rig);
      Claimed done = (Claimed) a.claim("done", DIGEST);
      rig.await(a.log.record(RunRig.id("done"), done.token(), answered("yes")));
      a.claim("open", DIGEST);
      for (int i = 0; i < 30; i++) {
        a.claim("filler" + i, DIGEST);
      }
      Host b = rig.host("b");
      b.log.setMembers(RunRig.members(b));
      rig.time.advance(Duration.ofSeconds(5));
      assertEquals(body(b.claim("done", DIGEST)), "yes");
      assertEquals(b.claim("open", DIGEST), new InProgress());
      a.kill();
      assertEquals(b.claim("open", DIGEST), new Unknown());
    }

    @Test
    public void claimantMayReportToTheNewOwner() {
      RunRig rig = new RunRig();
      Host a = startSingleHost(rig);
      Claimed c = (Claimed) a.claim("k", DIGEST);
      Host b = rig.host("b");
      b.log.setMembers(RunRig.members(b));
      rig.time.advance(Duration.ofSeconds(5));
      assertEquals(
          rig.await(b.log.record(RunRig.id("k"), c.token(), answered("yes"))),
          RecordResult.RECORDED);
      assertEquals(body(b.claim("k", DIGEST)), "yes");
    }

    /** The entries of the new owner are truncated while the former owner is paused. */
    @Test
    public void pausedOwnerFailsItsNextAppendEvenAfterTruncation() {
      RunRig rig = new RunRig();
      Host a = startSingleHost(rig);
      a.claim("early", DIGEST);
      a.process.pause();
      Host b = rig.host("b");
      b.log.setMembers(RunRig.members(b));
      rig.time.advance(Duration.ofSeconds(5));
      for (int i = 0; i < 40; i++) {
        assertTrue(b.claim("k" + i, DIGEST) instanceof Claimed);
      }
      rig.time.advance(Duration.ofSeconds(5));
      a.process.resume();
      for (int i = 0; i < 40; i++) {
        ClaimResult r = a.claim("k" + i, DIGEST);
        assertFalse(r instanceof Claimed, "claimed twice: k" + i);
      }
    }

    /** A slow host's seal reaches the store after another owner has truncated its position. */
    @Test
    public void delayedSealAtTruncatedPositionGainsNoOwnership() {
      RunRig rig = new RunRig();
      Host slow = rig.host("slow");
      slow.api.setOneWayDelay(Duration.ofSeconds(2));
      slow.log.setMembers(RunRig.members(slow));
      Host a = startSingleHost(rig);
      rig.time.advance(Duration.ofMillis(7500));
      for (int i = 0; i < 40; i++) {
        assertTrue(a.claim("k" + i, DIGEST) instanceof Claimed);
      }
      slow.api.setOneWayDelay(Duration.ofMillis(1));
      rig.time.advance(Duration.ofSeconds(10));
      for (int i = 0; i < 40; i++) {
        assertFalse(slow.claim("k" + i, DIGEST) instanceof Claimed, "claimed twice: k" + i);
      }
    }

    @Test
    public void hostOutsideTheMembersOwnsNothing() {
      RunRig rig = new RunRig();
      Host a = rig.host("a");
      Host b = rig.host("b");
      a.log.setMembers(RunRig.members(b));
      rig.time.advance(Duration.ofSeconds(1));
      assertTrue(a.claim("k", DIGEST) instanceof ClaimResult.NotOwner n && n.owner().isPresent());
      a.log.setMembers(ImmutableSet.of());
      assertTrue(a.claim("k", DIGEST) instanceof ClaimResult.NotOwner n && n.owner().isEmpty());
    }
  }

  /** Store writes per second, which must not grow with the rate of claims. */
  public static class StoreWriteRate {

    @Test
    public void writeRateIsBoundedAtAnyClaimRate() {
      for (int perSecond : new int[] {20, 200, 1000}) {
        RunRig rig = new RunRig();
        Host a = rig.new Host("a", 1, RunLogOptions.DEFAULT);
        a.log.setMembers(RunRig.members(a));
        rig.time.advance(Duration.ofSeconds(1));
        final int before = rig.store.writes();
        final int seconds = 60;
        List<CompletableFuture<ClaimResult>> claims = new ArrayList<>();
        for (int i = 0; i < perSecond * seconds; i++) {
          claims.add(a.log.claim(new ClaimRequest(RunRig.id("k" + i), DIGEST, a.token())));
          rig.time.advance(Duration.ofNanos(1_000_000_000L / perSecond));
        }
        double writes = (rig.store.writes() - before) / (double) seconds;
        claims.forEach(c -> assertTrue(rig.await(c) instanceof Claimed));
        System.out.printf("claims/s=%d store writes/s=%.1f%n", perSecond, writes);
        int bound = 2 * 4 * 20 + 10;
        assertTrue(writes <= bound, perSecond + " claims/s caused store writes/s: " + writes);
      }
    }
  }
}
