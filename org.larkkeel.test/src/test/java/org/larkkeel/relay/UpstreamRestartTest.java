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

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import org.larkkeel.event.FailureCause;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.relay.RelayEffect.Purpose;
import org.testng.annotations.Test;

/**
 * Guards against state of a previous incarnation being applied to an upstream that was restarted
 * under its name.
 */
public class UpstreamRestartTest {
  private static final CallSize SMALL = new CallSize(2_000, 1_000, 1_000);
  private static final HostName OTHER = new HostName("node-2");
  private static final long LATER_INCARNATION = 50;
  private static final long EARLIER_INCARNATION = -50;
  private static final MoveResult.Copied COPIED = new MoveResult.Copied("copy");

  /**
   * Returns a fixture with a stream that runs from a prompt which a prefill upstream has prefilled.
   */
  private static RelayWorld running(String path) {
    RelayWorld w = RelayWorld.withDefaults();
    w.arrive(path, 14_000, SMALL);
    w.promptRead();
    w.began();
    return w;
  }

  private static String lastUpstream(RelayWorld w) {
    return w.sent().upstream().name().value();
  }

  private static void receiveLoad(RelayWorld w, UpstreamIncarnation upstream, long units) {
    w.apply(
        new RelayEvent.LoadHeard(
            w.now(), OTHER, ImmutableMap.of(upstream, units), ImmutableSet.of(upstream)));
  }

  private static List<String> changes(RelayWorld w) {
    return w.of(RelayEffect.Report.class).stream()
        .map(RelayEffect.Report::fact)
        .filter(RelayFact.UpstreamChanged.class::isInstance)
        .map(RelayFact.UpstreamChanged.class::cast)
        .map(f -> f.upstream() + " " + f.change())
        .toList();
  }

  /** Work in progress at an upstream when it restarts. */
  public static class InProgress {
    @Test
    public void atMostOnceStreamIsCutImmediately() {
      RelayWorld w = running("/stream/a");
      AttemptId attempt = w.sent().attempt();
      w.restart(lastUpstream(w), LATER_INCARNATION);
      assertEquals(w.of(RelayEffect.Cancel.class), List.of(new RelayEffect.Cancel(attempt)));
      assertEquals(w.of(RelayEffect.Cut.class).size(), 1);
      assertEquals(w.router.loads(), ImmutableMap.of());
    }

    @Test
    public void resumableStreamContinuesImmediately() {
      RelayWorld w = running("/resume/a");
      w.restart(lastUpstream(w), LATER_INCARNATION);
      assertEquals(w.of(RelayEffect.Cancel.class).size(), 1);
      assertEquals(w.sendCount(), 3);
      assertEquals(w.sent().purpose(), w.fetch("read-1"));
    }

    @Test
    public void streamContinuesAtTheNewIncarnationWhenThereIsNoOtherUpstream() {
      RelayWorld w = running("/resume/a");
      w.remove(lastUpstream(w).equals("run-1") ? "run-2" : "run-1");
      w.pass(1_600);
      String upstream = lastUpstream(w);
      w.restart(upstream, LATER_INCARNATION);
      assertEquals(
          w.sent().upstream().incarnation(), RelayWorld.incarnation(upstream, LATER_INCARNATION));
    }

    @Test
    public void atMostOnceCallIsNotRunAgain() {
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/once/a");
      w.restart(lastUpstream(w), LATER_INCARNATION);
      assertEquals(w.sendCount(), 1);
      assertEquals(w.refused().retryAfterMillis(), 0, "it may have run");
      assertFalse(w.refusal().status() == 503, "it may have run");
    }

    @Test
    public void idempotentCallIsRunAgain() {
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/safe/a");
      w.restart(lastUpstream(w), LATER_INCARNATION);
      assertEquals(w.sendCount(), 2);
    }

    @Test
    public void promptIsPrefilledAgainAtAnotherUpstream() {
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/stream/a", 14_000, SMALL);
      assertEquals(lastUpstream(w), "read-1");
      w.restart("read-1", LATER_INCARNATION);
      assertEquals(w.sendCount(), 2);
      assertEquals(w.sent().purpose(), new Purpose.Run());
    }

    @Test
    public void callsAtOtherUpstreamsContinue() {
      RelayWorld w = running("/stream/a");
      w.restart(lastUpstream(w).equals("run-1") ? "run-2" : "run-1", LATER_INCARNATION);
      assertEquals(w.of(RelayEffect.Cancel.class), List.of());
      w.answered(AnswerGrade.GOOD);
      assertEquals(w.of(RelayEffect.Deliver.class).size(), 1);
    }

    @Test
    public void incarnationNumberMayDecrease() {
      RelayWorld w = running("/resume/a");
      w.restart(lastUpstream(w), EARLIER_INCARNATION);
      assertEquals(w.of(RelayEffect.Cancel.class).size(), 1);
    }
  }

  /** Known state of an upstream before its restart. */
  public static class KnownState {
    @Test
    public void reservationIsDropped() {
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/stream/a", 14_000, SMALL);
      UpstreamIncarnation reservedUpstream =
          w.router.loads().keySet().stream()
              .filter(l -> l.name().value().startsWith("run"))
              .findFirst()
              .orElseThrow();
      w.restart(reservedUpstream.name().value(), LATER_INCARNATION);
      assertEquals(w.router.loads().keySet(), ImmutableSet.of(RelayWorld.incarnation("read-1")));
      w.promptRead();
      assertTrue(w.sent().purpose() instanceof Purpose.TakeOver);
      assertEquals(w.router.loads().keySet(), ImmutableSet.of(w.sent().upstream().incarnation()));
      w.began();
      w.answered(AnswerGrade.GOOD);
      assertEquals(w.router.loads(), ImmutableMap.of());
    }

    @Test
    public void promptThatItPrefilledIsNotTakenOver() {
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/stream/a", 14_000, SMALL);
      w.promptRead();
      w.restart("read-1", LATER_INCARNATION);
      w.declined();
      assertEquals(w.sent().purpose(), new Purpose.Run());
      assertEquals(w.of(RelayEffect.Free.class), List.of(), "its handle may name another's now");
      w.began();
      assertEquals(w.router.losingHandles(w.now()), ImmutableSet.of());
    }

    @Test
    public void promptThatItHeldIsNotFetched() {
      RelayWorld w = running("/resume/a");
      w.restart("read-1", LATER_INCARNATION);
      w.lost();
      assertEquals(w.sent().purpose(), new Purpose.Run());
    }

    @Test
    public void ejectionEnds() {
      RelayWorld w = RelayWorld.withDefaults();
      w.remove("app-2");
      w.pass(1_600);
      w.arrive("/safe/a");
      w.notSent();
      w.add("app-2", RelayWorld.APP, Stage.WHOLE);
      w.restart("app-1", LATER_INCARNATION);
      ImmutableSet.Builder<UpstreamIncarnation> used = ImmutableSet.builder();
      for (int i = 0; i < 20; i++) {
        w.arrive("/safe/b");
        used.add(w.sent().upstream().incarnation());
      }
      assertTrue(used.build().contains(RelayWorld.incarnation("app-1", LATER_INCARNATION)));
    }

    @Test
    public void orderEnds() {
      RelayWorld w = RelayWorld.withDefaults();
      w.apply(
          new RelayEvent.Ordered(w.now(), RelayWorld.incarnation("run-1"), 15_000 * 1_000_000L));
      w.restart("run-1", LATER_INCARNATION);
      assertEquals(w.router.loads(), ImmutableMap.of());
    }

    @Test
    public void moveFromItIsAborted() {
      RelayWorld w = running("/stream/a");
      String source = lastUpstream(w);
      w.leave(source);
      w.pass(1_250);
      w.moved(COPIED);
      w.moved(COPIED);
      w.restart(source, LATER_INCARNATION);
      assertEquals(w.of(RelayEffect.Cut.class).size(), 1);
      assertEquals(w.of(RelayEffect.Free.class), List.of(), "its handle may name another's now");
      assertEquals(w.router.loads(), ImmutableMap.of());
    }

    @Test
    public void moveToItIsAborted() {
      RelayWorld w = running("/stream/a");
      String source = lastUpstream(w);
      w.leave(source);
      w.pass(1_250);
      w.restart(source.equals("run-1") ? "run-2" : "run-1", LATER_INCARNATION);
      assertEquals(w.router.loads().keySet(), ImmutableSet.of(RelayWorld.incarnation(source)));
      w.moved(COPIED);
      w.answered(AnswerGrade.GOOD);
      assertEquals(w.of(RelayEffect.Deliver.class).size(), 1);
    }

    @Test
    public void reservationIsGrantedAgain() {
      RelayWorld w = RelayWorld.withDefaults();
      w.apply(new RelayEvent.KeepingChanged(w.now(), ReservationMode.KEEP));
      ReservationRequest request =
          new ReservationRequest(
              new RequestId(1),
              "wire-1",
              RelayWorld.MODEL,
              3_000,
              0,
              true,
              false,
              0,
              900,
              PromptKey.NONE,
              ImmutableSet.of());
      RelayEvent requested =
          new RelayEvent.RoomAsked(w.now(), OTHER, RelayWorld.HERE, ImmutableList.of(request));
      w.apply(requested);
      UpstreamIncarnation first =
          w.of(RelayEffect.GrantReservation.class).getLast().reservedUpstream();
      w.restart(first.name().value(), LATER_INCARNATION);
      assertEquals(w.of(RelayEffect.GrantReservation.class).size(), 2);
      assertNotEquals(w.of(RelayEffect.GrantReservation.class).getLast().reservedUpstream(), first);
    }

    @Test
    public void changeIsReported() {
      RelayWorld w = RelayWorld.withDefaults();
      w.restart("run-1", LATER_INCARNATION);
      assertEquals(changes(w).getLast(), "run-1@50 restarted");
    }
  }

  /** Events about a new incarnation in different orders, and lost events. */
  public static class EventOrder {
    @Test
    public void brokenConnectionComesFirst() {
      RelayWorld w = running("/resume/a");
      String first = lastUpstream(w);
      w.lost();
      w.restart(first, LATER_INCARNATION);
      assertEquals(w.sendCount(), 3, "the restart causes no further attempt");
      assertEquals(w.of(RelayEffect.Cancel.class), List.of());
    }

    @Test
    public void brokenConnectionComesLast() {
      RelayWorld w = running("/resume/a");
      AttemptId attempt = w.sent().attempt();
      w.restart(lastUpstream(w), LATER_INCARNATION);
      w.apply(new RelayEvent.Lost(w.now(), attempt, FailureCause.CONNECTION_LOST));
      assertEquals(w.sendCount(), 3);
    }

    @Test
    public void entryIsLost() {
      RelayWorld w = running("/resume/a");
      final String first = lastUpstream(w);
      w.lost();
      w.pass(2_000);
      w.answered(AnswerGrade.GOOD);
      assertEquals(w.router.loads(), ImmutableMap.of());
      w.restart(first, LATER_INCARNATION);
      assertEquals(w.of(RelayEffect.Deliver.class).size(), 1);
    }

    @Test
    public void refusalOfAnOrderToThePreviousIncarnationComesLast() {
      RelayWorld w = RelayWorld.withDefaults();
      w.apply(
          new RelayEvent.Ordered(w.now(), RelayWorld.incarnation("run-1"), 15_000 * 1_000_000L));
      w.restart("run-1", LATER_INCARNATION);
      UpstreamIncarnation now = RelayWorld.incarnation("run-1", LATER_INCARNATION);
      w.apply(new RelayEvent.Ordered(w.now(), now, 15_000 * 1_000_000L));
      w.apply(new RelayEvent.OrderRefused(w.now(), RelayWorld.incarnation("run-1")));
      assertEquals(w.router.loads(), ImmutableMap.of(now, RelayWorld.MEMORY));
    }

    @Test
    public void expiryOfAnOrderToThePreviousIncarnationComesLast() {
      RelayWorld w = RelayWorld.withDefaults();
      w.apply(new RelayEvent.Ordered(w.now(), RelayWorld.incarnation("run-1"), 1_000 * 1_000_000L));
      w.restart("run-1", LATER_INCARNATION);
      UpstreamIncarnation now = RelayWorld.incarnation("run-1", LATER_INCARNATION);
      w.apply(new RelayEvent.Ordered(w.now(), now, 15_000 * 1_000_000L));
      w.pass(2_000);
      assertEquals(w.router.loads(), ImmutableMap.of(now, RelayWorld.MEMORY));
    }

    @Test
    public void orderToUnknownIncarnationIsIgnored() {
      RelayWorld w = RelayWorld.withDefaults();
      UpstreamIncarnation unknown = RelayWorld.incarnation("run-1", LATER_INCARNATION);
      w.apply(new RelayEvent.Ordered(w.now(), unknown, 15_000 * 1_000_000L));
      assertEquals(w.router.loads(), ImmutableMap.of());
    }

    @Test
    public void grantAtThePreviousIncarnationIsIgnored() {
      RelayWorld w = RelayWorld.withDefaults();
      w.apply(new RelayEvent.KeepingChanged(w.now(), ReservationMode.ASK));
      RequestId call = w.arrive("/stream/a", 0, SMALL);
      w.restart("run-1", LATER_INCARNATION);
      w.apply(
          new RelayEvent.RoomGranted(
              w.now(), call, RelayWorld.incarnation("run-1"), Optional.empty()));
      assertEquals(w.sendCount(), 0);
      w.apply(
          new RelayEvent.RoomGranted(
              w.now(),
              call,
              RelayWorld.incarnation("run-1", LATER_INCARNATION),
              Optional.of(RelayWorld.incarnation("read-1", LATER_INCARNATION))));
      assertEquals(
          w.sent().upstream().incarnation(), RelayWorld.incarnation("run-1", LATER_INCARNATION));
    }

    @Test
    public void slowPeerReportsThePreviousIncarnation() {
      RelayWorld w = RelayWorld.withDefaults();
      w.remove("run-2");
      w.pass(1_600);
      receiveLoad(w, RelayWorld.incarnation("run-1"), RelayWorld.MEMORY);
      w.restart("run-1", LATER_INCARNATION);
      receiveLoad(w, RelayWorld.incarnation("run-1"), RelayWorld.MEMORY);
      receiveLoad(w, RelayWorld.incarnation("read-1", EARLIER_INCARNATION), RelayWorld.MEMORY);
      w.arrive("/stream/a", 14_000, SMALL);
      assertEquals(lastUpstream(w), "read-1", "its prompts are not considered lost");
      w.promptRead();
      assertEquals(
          w.sent().upstream().incarnation(), RelayWorld.incarnation("run-1", LATER_INCARNATION));
    }

    @Test
    public void peerReportsTheNewIncarnationFirst() {
      RelayWorld w = RelayWorld.withDefaults();
      w.remove("run-2");
      w.pass(1_600);
      receiveLoad(w, RelayWorld.incarnation("run-1", LATER_INCARNATION), RelayWorld.MEMORY);
      w.arrive("/stream/a", 14_000, SMALL);
      assertEquals(w.sendCount(), 1, "the known incarnation has no load");
      w.restart("run-1", LATER_INCARNATION);
      w.arrive("/stream/b", 14_000, SMALL);
      assertEquals(w.sendCount(), 1, "the peer's load uses all of its memory");
      receiveLoad(w, RelayWorld.incarnation("run-1", LATER_INCARNATION), 0);
      w.pass(200);
      assertEquals(w.sent().call(), new RequestId(2));
    }
  }
}
