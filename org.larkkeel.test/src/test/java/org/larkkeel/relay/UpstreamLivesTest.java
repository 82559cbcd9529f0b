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
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.relay.RelayEffect.Purpose;
import org.testng.annotations.Test;

/** Upstreams that start again under their name. */
public class UpstreamLivesTest {
  private static final CallSize SMALL = new CallSize(2_000, 1_000, 1_000);
  private static final HostName OTHER = new HostName("node-2");
  private static final long LATER = 50;
  private static final long EARLIER = -50;
  private static final MoveResult.Copied COPIED = new MoveResult.Copied("copy");

  /** A stream that runs at an upstream, from a prompt that another has read. */
  private static RelayWorld running(String path) {
    RelayWorld w = RelayWorld.usual();
    w.arrive(path, 14_000, SMALL);
    w.promptRead();
    w.began();
    return w;
  }

  private static String where(RelayWorld w) {
    return w.sent().upstream().id().value();
  }

  private static void heard(RelayWorld w, UpstreamLife life, long units) {
    w.apply(
        new RelayEvent.LoadHeard(
            w.now(), OTHER, ImmutableMap.of(life, units), ImmutableSet.of(life)));
  }

  private static List<String> changes(RelayWorld w) {
    return w.of(RelayEffect.Report.class).stream()
        .map(RelayEffect.Report::fact)
        .filter(RelayFact.UpstreamChanged.class::isInstance)
        .map(RelayFact.UpstreamChanged.class::cast)
        .map(f -> f.life() + " " + f.change())
        .toList();
  }

  /** What is under way at an upstream when it starts again. */
  public static class UnderWay {
    @Test
    public void streamIsCutAtOnceWhenItMayRunOnce() {
      RelayWorld w = running("/stream/a");
      AttemptId attempt = w.sent().attempt();
      w.restart(where(w), LATER);
      assertEquals(w.of(RelayEffect.Cancel.class), List.of(new RelayEffect.Cancel(attempt)));
      assertEquals(w.of(RelayEffect.Cut.class).size(), 1);
      assertEquals(w.router.loads(), ImmutableMap.of());
    }

    @Test
    public void streamGoesOnAtOnceWhenItMay() {
      RelayWorld w = running("/resume/a");
      w.restart(where(w), LATER);
      assertEquals(w.of(RelayEffect.Cancel.class).size(), 1);
      assertEquals(w.sends(), 3);
      assertEquals(w.sent().purpose(), w.fetch("read-1"));
    }

    @Test
    public void streamGoesOnAtTheNewLifeWhenThereIsNoOther() {
      RelayWorld w = running("/resume/a");
      w.remove(where(w).equals("run-1") ? "run-2" : "run-1");
      w.pass(1_600);
      String home = where(w);
      w.restart(home, LATER);
      assertEquals(w.sent().upstream().life(), RelayWorld.life(home, LATER));
    }

    @Test
    public void callThatMayRunOnceIsNotRunAgain() {
      RelayWorld w = RelayWorld.usual();
      w.arrive("/once/a");
      w.restart(where(w), LATER);
      assertEquals(w.sends(), 1);
      assertEquals(w.refused().retryAfterMillis(), 0, "it may have run");
      assertFalse(w.refusal().status() == 503, "it may have run");
    }

    @Test
    public void idempotentCallIsRunAgain() {
      RelayWorld w = RelayWorld.usual();
      w.arrive("/safe/a");
      w.restart(where(w), LATER);
      assertEquals(w.sends(), 2);
    }

    @Test
    public void promptIsReadAgainElsewhere() {
      RelayWorld w = RelayWorld.usual();
      w.arrive("/stream/a", 14_000, SMALL);
      assertEquals(where(w), "read-1");
      w.restart("read-1", LATER);
      assertEquals(w.sends(), 2);
      assertEquals(w.sent().purpose(), new Purpose.Run());
    }

    @Test
    public void otherCallsGoOn() {
      RelayWorld w = running("/stream/a");
      w.restart(where(w).equals("run-1") ? "run-2" : "run-1", LATER);
      assertEquals(w.of(RelayEffect.Cancel.class), List.of());
      w.answered(AnswerGrade.GOOD);
      assertEquals(w.of(RelayEffect.Deliver.class).size(), 1);
    }

    @Test
    public void itsTimeOfStartMayGoBack() {
      RelayWorld w = running("/resume/a");
      w.restart(where(w), EARLIER);
      assertEquals(w.of(RelayEffect.Cancel.class).size(), 1);
    }
  }

  /** What is believed of an upstream before it starts again. */
  public static class Belief {
    @Test
    public void memoryThatWasSetAsideIsVoid() {
      RelayWorld w = RelayWorld.usual();
      w.arrive("/stream/a", 14_000, SMALL);
      UpstreamLife home =
          w.router.loads().keySet().stream()
              .filter(l -> l.name().value().startsWith("run"))
              .findFirst()
              .orElseThrow();
      w.restart(home.name().value(), LATER);
      assertEquals(w.router.loads().keySet(), ImmutableSet.of(RelayWorld.life("read-1")));
      w.promptRead();
      assertTrue(w.sent().purpose() instanceof Purpose.TakeOver);
      assertEquals(w.router.loads().keySet(), ImmutableSet.of(w.sent().upstream().life()));
      w.began();
      w.answered(AnswerGrade.GOOD);
      assertEquals(w.router.loads(), ImmutableMap.of());
    }

    @Test
    public void promptThatItHasReadIsNotTakenOver() {
      RelayWorld w = RelayWorld.usual();
      w.arrive("/stream/a", 14_000, SMALL);
      w.promptRead();
      w.restart("read-1", LATER);
      w.declined();
      assertEquals(w.sent().purpose(), new Purpose.Run());
      assertEquals(w.of(RelayEffect.Free.class), List.of(), "its handle may name another's now");
      w.began();
      assertEquals(w.router.lapsing(w.now()), ImmutableSet.of());
    }

    @Test
    public void promptThatItKeptIsNotFetched() {
      RelayWorld w = running("/resume/a");
      w.restart("read-1", LATER);
      w.lost();
      assertEquals(w.sent().purpose(), new Purpose.Run());
    }

    @Test
    public void itIsNotAvoidedForWhatFailedBefore() {
      RelayWorld w = RelayWorld.usual();
      w.remove("app-2");
      w.pass(1_600);
      w.arrive("/safe/a");
      w.notSent();
      w.add("app-2", RelayWorld.APP, Stage.WHOLE);
      w.restart("app-1", LATER);
      ImmutableSet.Builder<UpstreamLife> used = ImmutableSet.builder();
      for (int i = 0; i < 20; i++) {
        w.arrive("/safe/b");
        used.add(w.sent().upstream().life());
      }
      assertTrue(used.build().contains(RelayWorld.life("app-1", LATER)));
    }

    @Test
    public void orderIsOver() {
      RelayWorld w = RelayWorld.usual();
      w.apply(new RelayEvent.Ordered(w.now(), RelayWorld.life("run-1"), 15_000 * 1_000_000L));
      w.restart("run-1", LATER);
      assertEquals(w.router.loads(), ImmutableMap.of());
    }

    @Test
    public void moveThatItIsTheSourceOfIsVoid() {
      RelayWorld w = running("/stream/a");
      String source = where(w);
      w.leave(source);
      w.pass(1_250);
      w.moved(COPIED);
      w.moved(COPIED);
      w.restart(source, LATER);
      assertEquals(w.of(RelayEffect.Cut.class).size(), 1);
      assertEquals(w.of(RelayEffect.Free.class), List.of(), "its handle may name another's now");
      assertEquals(w.router.loads(), ImmutableMap.of());
    }

    @Test
    public void moveThatItIsTheDestinationOfIsVoid() {
      RelayWorld w = running("/stream/a");
      String source = where(w);
      w.leave(source);
      w.pass(1_250);
      w.restart(source.equals("run-1") ? "run-2" : "run-1", LATER);
      assertEquals(w.router.loads().keySet(), ImmutableSet.of(RelayWorld.life(source)));
      w.moved(COPIED);
      w.answered(AnswerGrade.GOOD);
      assertEquals(w.of(RelayEffect.Deliver.class).size(), 1);
    }

    @Test
    public void grantIsGivenAgain() {
      RelayWorld w = RelayWorld.usual();
      w.apply(new RelayEvent.KeepingChanged(w.now(), RoomKeeping.KEEP));
      RoomAsk ask =
          new RoomAsk(
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
      RelayEvent asked =
          new RelayEvent.RoomAsked(w.now(), OTHER, RelayWorld.HERE, ImmutableList.of(ask));
      w.apply(asked);
      UpstreamLife first = w.of(RelayEffect.GrantRoom.class).getLast().home();
      w.restart(first.name().value(), LATER);
      assertEquals(w.of(RelayEffect.GrantRoom.class).size(), 2);
      assertNotEquals(w.of(RelayEffect.GrantRoom.class).getLast().home(), first);
    }

    @Test
    public void changeIsTold() {
      RelayWorld w = RelayWorld.usual();
      w.restart("run-1", LATER);
      assertEquals(changes(w).getLast(), "run-1@50 restarted");
    }
  }

  /** The orders in which the news of a new life come, and news that are lost. */
  public static class News {
    @Test
    public void brokenConnectionComesFirst() {
      RelayWorld w = running("/resume/a");
      String first = where(w);
      w.lost();
      w.restart(first, LATER);
      assertEquals(w.sends(), 3, "no more than for the broken connection");
      assertEquals(w.of(RelayEffect.Cancel.class), List.of());
    }

    @Test
    public void brokenConnectionComesLast() {
      RelayWorld w = running("/resume/a");
      AttemptId attempt = w.sent().attempt();
      w.restart(where(w), LATER);
      w.apply(new RelayEvent.Lost(w.now(), attempt, FailureCause.CONNECTION_LOST));
      assertEquals(w.sends(), 3);
    }

    @Test
    public void entryIsLost() {
      RelayWorld w = running("/resume/a");
      final String first = where(w);
      w.lost();
      w.pass(2_000);
      w.answered(AnswerGrade.GOOD);
      assertEquals(w.router.loads(), ImmutableMap.of());
      w.restart(first, LATER);
      assertEquals(w.of(RelayEffect.Deliver.class).size(), 1);
    }

    @Test
    public void refusalOfAnOrderOfTheEarlierLifeComesLast() {
      RelayWorld w = RelayWorld.usual();
      w.apply(new RelayEvent.Ordered(w.now(), RelayWorld.life("run-1"), 15_000 * 1_000_000L));
      w.restart("run-1", LATER);
      UpstreamLife now = RelayWorld.life("run-1", LATER);
      w.apply(new RelayEvent.Ordered(w.now(), now, 15_000 * 1_000_000L));
      w.apply(new RelayEvent.OrderRefused(w.now(), RelayWorld.life("run-1")));
      assertEquals(w.router.loads(), ImmutableMap.of(now, RelayWorld.MEMORY));
    }

    @Test
    public void longestTimeOfAnOrderOfTheEarlierLifeComesLast() {
      RelayWorld w = RelayWorld.usual();
      w.apply(new RelayEvent.Ordered(w.now(), RelayWorld.life("run-1"), 1_000 * 1_000_000L));
      w.restart("run-1", LATER);
      UpstreamLife now = RelayWorld.life("run-1", LATER);
      w.apply(new RelayEvent.Ordered(w.now(), now, 15_000 * 1_000_000L));
      w.pass(2_000);
      assertEquals(w.router.loads(), ImmutableMap.of(now, RelayWorld.MEMORY));
    }

    @Test
    public void orderOfUnknownLifeChangesNothing() {
      RelayWorld w = RelayWorld.usual();
      UpstreamLife unknown = RelayWorld.life("run-1", LATER);
      w.apply(new RelayEvent.Ordered(w.now(), unknown, 15_000 * 1_000_000L));
      assertEquals(w.router.loads(), ImmutableMap.of());
    }

    @Test
    public void grantAtTheEarlierLifeIsNotTaken() {
      RelayWorld w = RelayWorld.usual();
      w.apply(new RelayEvent.KeepingChanged(w.now(), RoomKeeping.ASK));
      RequestId call = w.arrive("/stream/a", 0, SMALL);
      w.restart("run-1", LATER);
      w.apply(
          new RelayEvent.RoomGranted(w.now(), call, RelayWorld.life("run-1"), Optional.empty()));
      assertEquals(w.sends(), 0);
      w.apply(
          new RelayEvent.RoomGranted(
              w.now(),
              call,
              RelayWorld.life("run-1", LATER),
              Optional.of(RelayWorld.life("read-1", LATER))));
      assertEquals(w.sent().upstream().life(), RelayWorld.life("run-1", LATER));
    }

    @Test
    public void slowPeerTellsOfTheEarlierLife() {
      RelayWorld w = RelayWorld.usual();
      w.remove("run-2");
      w.pass(1_600);
      heard(w, RelayWorld.life("run-1"), RelayWorld.MEMORY);
      w.restart("run-1", LATER);
      heard(w, RelayWorld.life("run-1"), RelayWorld.MEMORY);
      heard(w, RelayWorld.life("read-1", EARLIER), RelayWorld.MEMORY);
      w.arrive("/stream/a", 14_000, SMALL);
      assertEquals(where(w), "read-1", "its prompts do not lapse");
      w.promptRead();
      assertEquals(w.sent().upstream().life(), RelayWorld.life("run-1", LATER));
    }

    @Test
    public void peerKnowsTheNewLifeFirst() {
      RelayWorld w = RelayWorld.usual();
      w.remove("run-2");
      w.pass(1_600);
      heard(w, RelayWorld.life("run-1", LATER), RelayWorld.MEMORY);
      w.arrive("/stream/a", 14_000, SMALL);
      assertEquals(w.sends(), 1, "nothing is in flight at the life that is known");
      w.restart("run-1", LATER);
      w.arrive("/stream/b", 14_000, SMALL);
      assertEquals(w.sends(), 1, "the peer has all of its memory");
      heard(w, RelayWorld.life("run-1", LATER), 0);
      w.pass(200);
      assertEquals(w.sent().call(), new RequestId(2));
    }
  }
}
