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
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.relay.RelayEffect.Purpose;
import org.testng.annotations.Test;

/** What the router does with what upstreams say of themselves. */
public class LeavingAndRestTest {
  private static final CallSize SMALL = new CallSize(2_000, 1_000, 1_000);
  private static final long SECOND = 1_000 * RelayWorld.MILLI;

  private static void leaves(RelayWorld w, UpstreamLife life) {
    w.apply(new RelayEvent.Noticed(w.now(), life, w.now(), new UpstreamNotice(true, 0)));
  }

  private static void rests(RelayWorld w, UpstreamLife life, long seconds) {
    w.apply(
        new RelayEvent.Noticed(
            w.now(), life, w.now(), new UpstreamNotice(false, seconds * SECOND)));
  }

  /** The upstreams that calls of a plain service are sent to. */
  private static Set<String> used(RelayWorld w) {
    Set<String> used = new HashSet<>();
    for (int i = 0; i < 20; i++) {
      w.arrive("/once/a");
      used.add(w.sent().upstream().id().value());
    }
    return used;
  }

  /** Upstreams that say in an answer that they leave. */
  public static class Leaving {
    @Test
    public void getNoNewWork() {
      RelayWorld w = RelayWorld.usual();
      leaves(w, RelayWorld.life("app-1"));
      assertEquals(used(w), Set.of("app-2"));
    }

    @Test
    public void areNotTakenBackByTheList() {
      RelayWorld w = RelayWorld.usual();
      leaves(w, RelayWorld.life("app-1"));
      w.tellUpstreams();
      w.remove("app-1");
      w.add("app-1", RelayWorld.APP, Stage.WHOLE);
      w.tellUpstreams();
      assertEquals(used(w), Set.of("app-2"));
    }

    @Test
    public void areTakenBackByTheirNextLife() {
      RelayWorld w = RelayWorld.usual();
      leaves(w, RelayWorld.life("app-1"));
      w.restart("app-1", 5);
      assertEquals(used(w), Set.of("app-1", "app-2"));
    }

    @Test
    public void areNotMeantByTheWordOfTheLifeBefore() {
      RelayWorld w = RelayWorld.usual();
      w.restart("app-1", 5);
      leaves(w, RelayWorld.life("app-1"));
      assertEquals(used(w), Set.of("app-1", "app-2"));
    }

    @Test
    public void doNotRunThePromptThatIsReadForThem() {
      RelayWorld w = RelayWorld.usual();
      w.arrive("/stream/a", 14_000, SMALL);
      leaves(w, RelayWorld.life("run-1"));
      w.promptRead();
      assertEquals(w.sent().upstream().life(), RelayWorld.life("run-2"));
    }

    @Test
    public void areNoHomeWhateverTheNodeThatGivesRoomSays() {
      RelayWorld w = RelayWorld.usual();
      w.apply(new RelayEvent.KeepingChanged(w.now(), RoomKeeping.ASK));
      leaves(w, RelayWorld.life("run-1"));
      var call = w.arrive("/stream/a", 14_000, SMALL);
      assertEquals(
          w.router.asks(w.now()).getFirst().without(), ImmutableSet.of(RelayWorld.life("run-1")));
      w.apply(
          new RelayEvent.RoomGranted(w.now(), call, RelayWorld.life("run-1"), Optional.empty()));
      assertEquals(w.sends(), 0);
    }

    @Test
    public void giveTheirRunsToOthers() {
      RelayWorld w = RelayWorld.usual();
      w.arrive("/resume/a", 14_000, SMALL);
      w.promptRead();
      w.began();
      leaves(w, w.sent().upstream().life());
      w.pass(1_300);
      assertEquals(w.of(RelayEffect.Move.class).size(), 1);
    }

    @Test
    public void doNotGoOnWithRunsThatWereMovedToThem() {
      RelayWorld w = RelayWorld.usual();
      w.arrive("/resume/a", 14_000, SMALL);
      w.promptRead();
      w.began();
      w.leave(w.sent().upstream().id().value());
      w.pass(1_300);
      w.moved(new MoveResult.Copied("first"));
      leaves(w, w.of(RelayEffect.Move.class).getLast().destination().life());
      w.moved(new MoveResult.Copied("last"));
      final int sends = w.sends();
      w.lost();
      for (int i = sends; i < w.sends(); i++) {
        Purpose purpose = w.of(RelayEffect.Send.class).get(i).purpose();
        assertFalse(purpose instanceof Purpose.Continue, "sent to one that leaves");
      }
    }

    @Test
    public void mayNotBeReachedByWhatWaitsForTheirConnection() {
      RelayWorld w = RelayWorld.usual();
      assertTrue(w.router.mayReach(w.now(), RelayWorld.life("app-1")));
      leaves(w, RelayWorld.life("app-1"));
      assertFalse(w.router.mayReach(w.now(), RelayWorld.life("app-1")));
    }
  }

  /** Upstreams that want rest. */
  public static class Resting {
    @Test
    public void getNothingForSoLong() {
      RelayWorld w = RelayWorld.usual();
      rests(w, RelayWorld.life("app-1"), 3);
      w.pass(2_990);
      assertEquals(used(w), Set.of("app-2"));
      w.pass(20);
      assertTrue(used(w).contains("app-1"));
    }

    @Test
    public void keepTheLongerOfTwoTimes() {
      RelayWorld w = RelayWorld.usual();
      rests(w, RelayWorld.life("app-1"), 3);
      rests(w, RelayWorld.life("app-1"), 1);
      w.pass(2_000);
      assertEquals(used(w), Set.of("app-2"));
    }

    @Test
    public void areNotWokenByAnEntryOrAnAnswer() {
      RelayWorld w = RelayWorld.usual();
      w.remove("app-2");
      w.pass(1_600);
      w.arrive("/once/a");
      rests(w, RelayWorld.life("app-1"), 3);
      w.answered(AnswerGrade.GOOD);
      w.tellUpstreams();
      int sends = w.sends();
      w.arrive("/once/b");
      assertEquals(w.sends(), sends);
    }

    @Test
    public void areAwakeInTheirNextLife() {
      RelayWorld w = RelayWorld.usual();
      rests(w, RelayWorld.life("app-1"), 300);
      w.restart("app-1", 5);
      assertEquals(used(w), Set.of("app-1", "app-2"));
    }

    @Test
    public void doNotReadThePromptThatTheyDeclined() {
      RelayWorld w = RelayWorld.usual();
      w.remove("run-2");
      w.pass(1_600);
      w.arrive("/stream/a", 14_000, SMALL);
      w.promptRead();
      rests(w, RelayWorld.life("run-1"), 3);
      int sends = w.sends();
      w.declined();
      assertEquals(w.sends(), sends);
    }
  }

  /** Services all of whose upstreams rest. */
  public static class AllResting {
    private static RelayWorld world(String... upstreams) {
      RelayWorld w = RelayWorld.usual();
      for (String name : upstreams) {
        rests(w, RelayWorld.life(name), 3);
      }
      return w;
    }

    @Test
    public void tellAtOnceWhenTheFirstHasRested() {
      RelayWorld w = world("app-1", "app-2");
      w.pass(1_000);
      w.arrive("/once/a");
      assertEquals(w.refusal(), ErrorKind.OVERLOADED);
      long millis = w.refused().retryAfterMillis();
      assertTrue(millis > 2_000 && millis < 3_000, millis + " ms");
    }

    @Test
    public void spreadThoseThatComeBack() {
      RelayWorld w = world("app-1", "app-2");
      w.arrive("/once/a");
      long first = w.refused().retryAfterMillis();
      w.arrive("/once/b");
      assertNotEquals(w.refused().retryAfterMillis(), first);
    }

    @Test
    public void letNoStreamWaitForRoomInVain() {
      RelayWorld w = world("run-1", "run-2");
      w.arrive("/stream/a", 14_000, SMALL);
      assertEquals(w.refusal(), ErrorKind.OVERLOADED);
      long millis = w.refused().retryAfterMillis();
      assertTrue(millis > 3_000 && millis < 4_500, millis + " ms");
    }

    @Test
    public void letStreamsWaitForThoseThatHaveNearlyRested() {
      RelayWorld w = world("run-1", "run-2");
      w.pass(2_950);
      w.arrive("/stream/a", 14_000, SMALL);
      assertFalse(w.isRefused());
      w.pass(60);
      assertEquals(w.sends(), 1);
    }

    @Test
    public void countThoseThatLeaveForNone() {
      RelayWorld w = RelayWorld.usual();
      leaves(w, RelayWorld.life("app-1"));
      leaves(w, RelayWorld.life("app-2"));
      w.arrive("/once/a");
      assertEquals(w.refusal(), ErrorKind.NO_UPSTREAM);
    }

    @Test
    public void asksForNoRoomAtThem() {
      RelayWorld w = world("run-1");
      w.apply(new RelayEvent.KeepingChanged(w.now(), RoomKeeping.ASK));
      w.arrive("/stream/a", 14_000, SMALL);
      RoomAsk ask = w.router.asks(w.now()).getFirst();
      assertEquals(ask.without(), ImmutableSet.of(RelayWorld.life("run-1")));
    }

    @Test
    public void areNoneWhileAnotherNodeSpeaksOfLoadOnly() {
      RelayWorld w = world("app-1");
      w.apply(
          new RelayEvent.LoadHeard(
              w.now(),
              new HostName("node-2"),
              ImmutableMap.of(RelayWorld.life("app-1"), 1L),
              ImmutableSet.of()));
      assertEquals(used(w), Set.of("app-2"));
    }
  }
}
