/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.relay.RelayEffect.Purpose;
import org.testng.annotations.Test;

/**
 * Tests how the router reacts to the notices of upstreams that they are leaving or want a backoff.
 */
public class LeavingAndBackoffTest {
  private static final CallSize SMALL = new CallSize(2_000, 1_000, 1_000);
  private static final long SECOND = 1_000 * RelayWorld.MILLI;

  private static void receiveLeaving(RelayWorld w, UpstreamIncarnation upstream) {
    w.apply(new RelayEvent.Noticed(w.now(), upstream, w.now(), new UpstreamNotice(true, 0)));
  }

  private static void receiveBackoff(RelayWorld w, UpstreamIncarnation upstream, long seconds) {
    w.apply(
        new RelayEvent.Noticed(
            w.now(), upstream, w.now(), new UpstreamNotice(false, seconds * SECOND)));
  }

  /** Returns the upstreams to which calls of a plain service are sent. */
  private static Set<String> used(RelayWorld w) {
    Set<String> used = new HashSet<>();
    for (int i = 0; i < 20; i++) {
      w.arrive("/once/a");
      used.add(w.sent().upstream().name().value());
    }
    return used;
  }

  /** Upstreams whose answer says that they are leaving. */
  public static class Leaving {
    @Test
    public void getNoNewWork() {
      RelayWorld w = RelayWorld.withDefaults();
      receiveLeaving(w, RelayWorld.incarnation("app-1"));
      assertEquals(used(w), Set.of("app-2"));
    }

    @Test
    public void areNotRestoredByTheDiscoveryList() {
      RelayWorld w = RelayWorld.withDefaults();
      receiveLeaving(w, RelayWorld.incarnation("app-1"));
      w.applyDiscoveryList();
      w.remove("app-1");
      w.add("app-1", RelayWorld.APP, Stage.WHOLE);
      w.applyDiscoveryList();
      assertEquals(used(w), Set.of("app-2"));
    }

    @Test
    public void areUsedAgainAfterRestart() {
      RelayWorld w = RelayWorld.withDefaults();
      receiveLeaving(w, RelayWorld.incarnation("app-1"));
      w.restart("app-1", 5);
      assertEquals(used(w), Set.of("app-1", "app-2"));
    }

    @Test
    public void ignoreTheNoticeOfThePreviousIncarnation() {
      RelayWorld w = RelayWorld.withDefaults();
      w.restart("app-1", 5);
      receiveLeaving(w, RelayWorld.incarnation("app-1"));
      assertEquals(used(w), Set.of("app-1", "app-2"));
    }

    @Test
    public void doNotRunThePromptThatIsPrefilledForThem() {
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/stream/a", 14_000, SMALL);
      receiveLeaving(w, RelayWorld.incarnation("run-1"));
      w.promptRead();
      assertEquals(w.sent().upstream().incarnation(), RelayWorld.incarnation("run-2"));
    }

    @Test
    public void areNotUsedEvenIfTheCoordinatorGrantsThem() {
      RelayWorld w = RelayWorld.withDefaults();
      w.apply(new RelayEvent.KeepingChanged(w.now(), ReservationMode.ASK));
      receiveLeaving(w, RelayWorld.incarnation("run-1"));
      var call = w.arrive("/stream/a", 14_000, SMALL);
      assertEquals(
          w.router.notEligibleUpstreams(w.now(), RelayWorld.MODEL),
          ImmutableSet.of(RelayWorld.incarnation("run-1")));
      w.apply(
          new RelayEvent.RoomGranted(
              w.now(), call, RelayWorld.incarnation("run-1"), Optional.empty()));
      assertEquals(w.sendCount(), 0);
    }

    @Test
    public void areEvacuated() {
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/resume/a", 14_000, SMALL);
      w.promptRead();
      w.began();
      receiveLeaving(w, w.sent().upstream().incarnation());
      w.pass(1_300);
      assertEquals(w.of(RelayEffect.Move.class).size(), 1);
    }

    @Test
    public void doNotContinueRunsThatWereMovedToThem() {
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/resume/a", 14_000, SMALL);
      w.promptRead();
      w.began();
      w.leave(w.sent().upstream().name().value());
      w.pass(1_300);
      w.moved(new MoveResult.Copied("first"));
      receiveLeaving(w, w.of(RelayEffect.Move.class).getLast().destination().incarnation());
      w.moved(new MoveResult.Copied("last"));
      final int sends = w.sendCount();
      w.lost();
      for (int i = sends; i < w.sendCount(); i++) {
        Purpose purpose = w.of(RelayEffect.Send.class).get(i).purpose();
        assertFalse(purpose instanceof Purpose.Continue, "sent to an upstream that is leaving");
      }
    }

    @Test
    public void acceptNoRequestsThatWaitForConnections() {
      RelayWorld w = RelayWorld.withDefaults();
      assertTrue(w.router.acceptsRequests(w.now(), RelayWorld.incarnation("app-1")));
      receiveLeaving(w, RelayWorld.incarnation("app-1"));
      assertFalse(w.router.acceptsRequests(w.now(), RelayWorld.incarnation("app-1")));
    }
  }

  /** Upstreams that asked for a backoff. */
  public static class Backoff {
    @Test
    public void getNoRequestsDuringTheBackoff() {
      RelayWorld w = RelayWorld.withDefaults();
      receiveBackoff(w, RelayWorld.incarnation("app-1"), 3);
      w.pass(2_990);
      assertEquals(used(w), Set.of("app-2"));
      w.pass(20);
      assertTrue(used(w).contains("app-1"));
    }

    @Test
    public void keepTheLongerOfTwoBackoffs() {
      RelayWorld w = RelayWorld.withDefaults();
      receiveBackoff(w, RelayWorld.incarnation("app-1"), 3);
      receiveBackoff(w, RelayWorld.incarnation("app-1"), 1);
      w.pass(2_000);
      assertEquals(used(w), Set.of("app-2"));
    }

    @Test
    public void stayInBackoffAfterListingsAndAnswers() {
      RelayWorld w = RelayWorld.withDefaults();
      w.remove("app-2");
      w.pass(1_600);
      w.arrive("/once/a");
      receiveBackoff(w, RelayWorld.incarnation("app-1"), 3);
      w.answered(AnswerGrade.GOOD);
      w.applyDiscoveryList();
      int sends = w.sendCount();
      w.arrive("/once/b");
      assertEquals(w.sendCount(), sends);
    }

    @Test
    public void areUsedAgainAfterRestart() {
      RelayWorld w = RelayWorld.withDefaults();
      receiveBackoff(w, RelayWorld.incarnation("app-1"), 300);
      w.restart("app-1", 5);
      assertEquals(used(w), Set.of("app-1", "app-2"));
    }

    /** An upstream that restarts at a time of day, and whose entry tells of it later. */
    private static RelayWorld restartedBefore(long noticeMillis, long listMillis) {
      RelayWorld w = RelayWorld.withDefaults();
      w.pass(noticeMillis);
      receiveBackoff(w, RelayWorld.incarnation("app-1"), 3);
      w.pass(listMillis - noticeMillis);
      w.restart("app-1", 1_000_000, BuildName.UNKNOWN);
      w.applyDiscoveryList(1_000_000 + listMillis);
      return w;
    }

    /** Guards against requests to an upstream whose backoff was booked on its previous process. */
    @Test
    public void stayInBackoffIfTheirEntryFollowsTheNotice() {
      RelayWorld w = restartedBefore(600, 700);
      assertEquals(used(w), Set.of("app-2"));
      w.pass(2_880);
      assertEquals(used(w), Set.of("app-2"));
      w.pass(40);
      assertTrue(used(w).contains("app-1"));
    }

    @Test
    public void areUsedAgainIfTheNoticeIsOlderThanTheStart() {
      RelayWorld w = RelayWorld.withDefaults();
      receiveBackoff(w, RelayWorld.incarnation("app-1"), 300);
      w.pass(20);
      w.restart("app-1", 1_000_000, BuildName.UNKNOWN);
      w.applyDiscoveryList(1_000_010);
      assertEquals(used(w), Set.of("app-1", "app-2"));
    }

    /** The start that an upstream tells may be far off if its clock was set back. */
    @Test
    public void areUsedAgainIfTheNoticeIsOlderThanAnEntryCanBe() {
      assertEquals(used(restartedBefore(100, 1_700)), Set.of("app-1", "app-2"));
    }

    @Test
    public void doNotPrefillThePromptThatTheyDeclined() {
      RelayWorld w = RelayWorld.withDefaults();
      w.remove("run-2");
      w.pass(1_600);
      w.arrive("/stream/a", 14_000, SMALL);
      w.promptRead();
      receiveBackoff(w, RelayWorld.incarnation("run-1"), 3);
      int sends = w.sendCount();
      w.declined();
      assertEquals(w.sendCount(), sends);
    }
  }

  /** Services all of whose upstreams are in backoff. */
  public static class AllInBackoff {
    private static RelayWorld world(String... upstreams) {
      RelayWorld w = RelayWorld.withDefaults();
      for (String name : upstreams) {
        receiveBackoff(w, RelayWorld.incarnation(name), 3);
      }
      return w;
    }

    @Test
    public void refuseImmediatelyWithTheEndOfTheFirstBackoff() {
      RelayWorld w = world("app-1", "app-2");
      w.pass(1_000);
      w.arrive("/once/a");
      assertEquals(w.refusal(), ErrorKind.OVERLOADED);
      long millis = w.refused().retryAfterMillis();
      assertTrue(millis > 2_000 && millis < 3_000, millis + " ms");
    }

    @Test
    public void spreadRetries() {
      RelayWorld w = world("app-1", "app-2");
      w.arrive("/once/a");
      long first = w.refused().retryAfterMillis();
      w.arrive("/once/b");
      assertNotEquals(w.refused().retryAfterMillis(), first);
    }

    @Test
    public void refuseStreamsThatCanNotGetReservationsInTime() {
      RelayWorld w = world("run-1", "run-2");
      w.arrive("/stream/a", 14_000, SMALL);
      assertEquals(w.refusal(), ErrorKind.OVERLOADED);
      long millis = w.refused().retryAfterMillis();
      assertTrue(millis > 3_000 && millis < 4_500, millis + " ms");
    }

    @Test
    public void letStreamsWaitForBackoffsThatEndSoon() {
      RelayWorld w = world("run-1", "run-2");
      w.pass(2_950);
      w.arrive("/stream/a", 14_000, SMALL);
      assertFalse(w.isRefused());
      w.pass(60);
      assertEquals(w.sendCount(), 1);
    }

    @Test
    public void doNotCountLeavingUpstreams() {
      RelayWorld w = RelayWorld.withDefaults();
      receiveLeaving(w, RelayWorld.incarnation("app-1"));
      receiveLeaving(w, RelayWorld.incarnation("app-2"));
      w.arrive("/once/a");
      assertEquals(w.refusal(), ErrorKind.NO_UPSTREAM);
    }

    @Test
    public void areNamedOnceForTheServiceInsteadOfInEachReservationRequest() {
      RelayWorld w = world("run-1");
      w.apply(new RelayEvent.KeepingChanged(w.now(), ReservationMode.ASK));
      w.arrive("/stream/a", 14_000, SMALL);
      ReservationRequest ask = w.router.reservationRequests(w.now()).getFirst();
      assertEquals(ask.excluded(), ImmutableSet.of());
      assertEquals(
          w.router.notEligibleUpstreams(w.now(), ask.service()),
          ImmutableSet.of(RelayWorld.incarnation("run-1")));
    }

    @Test
    public void keepTheBackoffWhenAnotherNodeReportsLoad() {
      RelayWorld w = world("app-1");
      w.apply(
          new RelayEvent.LoadHeard(
              w.now(),
              new HostName("node-2"),
              ImmutableMap.of(RelayWorld.incarnation("app-1"), 1L),
              ImmutableSet.of()));
      assertEquals(used(w), Set.of("app-2"));
    }
  }
}
