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
import java.util.List;
import java.util.Optional;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.relay.RelayEffect.Purpose;
import org.testng.annotations.Test;

/** Room that one node gives to the calls of others. */
public class RelayRoomTest {
  private static final CallSize SMALL = new CallSize(2_000, 1_000, 1_000);
  private static final HostName OTHER = new HostName("node-2");
  private static final UpstreamLife RUN_1 = RelayWorld.life("run-1");
  private static final UpstreamLife READ_1 = RelayWorld.life("read-1");
  private static final long PROMPT = 5_000;

  private static RelayWorld world(RoomKeeping keeping) {
    RelayWorld w = RelayWorld.usual();
    w.apply(new RelayEvent.KeepingChanged(w.now(), keeping));
    return w;
  }

  private static RoomAsk ask(long call, long units, UpstreamLife... without) {
    return new RoomAsk(
        new RequestId(call),
        "wire-" + call,
        RelayWorld.MODEL,
        units,
        PROMPT,
        true,
        false,
        0,
        900,
        PromptKey.NONE,
        ImmutableSet.copyOf(without));
  }

  private static void asked(RelayWorld w, RoomAsk... asks) {
    w.apply(new RelayEvent.RoomAsked(w.now(), OTHER, RelayWorld.HERE, ImmutableList.copyOf(asks)));
  }

  private static List<RelayEffect.GrantRoom> grants(RelayWorld w) {
    return w.of(RelayEffect.GrantRoom.class);
  }

  private static RelayEvent.RoomGranted granted(RelayWorld w, RequestId call) {
    return new RelayEvent.RoomGranted(w.now(), call, RUN_1, Optional.of(READ_1));
  }

  /** The node that asks. */
  public static class Asking {
    @Test
    public void sendsNothingBeforeItIsGivenRoom() {
      RelayWorld w = world(RoomKeeping.ASK);
      RequestId call = w.arrive("/stream/a", 0, SMALL);
      assertEquals(w.sends(), 0);
      RoomAsk ask = w.router.asks(w.now()).getFirst();
      assertEquals(ask.call(), call);
      assertEquals(ask.prompt(), SMALL.prompt());
      assertTrue(ask.units() >= SMALL.prompt());
    }

    @Test
    public void readsThePromptWhereItIsTold() {
      RelayWorld w = world(RoomKeeping.ASK);
      RequestId call = w.arrive("/stream/a", 0, SMALL);
      w.apply(granted(w, call));
      assertEquals(w.sent().upstream().life(), READ_1);
      assertTrue(w.sent().purpose() instanceof Purpose.ReadPrompt);
      w.promptRead();
      assertEquals(w.sent().upstream().life(), RUN_1);
      assertTrue(w.router.asks(w.now()).isEmpty());
    }

    @Test
    public void takesEachGrantOnce() {
      RelayWorld w = world(RoomKeeping.ASK);
      RequestId call = w.arrive("/stream/a", 0, SMALL);
      w.apply(granted(w, call));
      w.apply(granted(w, call));
      assertEquals(w.sends(), 1);
    }

    @Test
    public void takesNoGrantOfAnUpstreamThatLeaves() {
      RelayWorld w = world(RoomKeeping.ASK);
      RequestId call = w.arrive("/stream/a", 0, SMALL);
      w.leave(RUN_1.name().value());
      w.apply(granted(w, call));
      assertEquals(w.sends(), 0);
      assertFalse(w.router.asks(w.now()).isEmpty());
    }

    @Test
    public void isRefusedInTimeWhenNoRoomIsGiven() {
      RelayWorld w = world(RoomKeeping.ASK);
      w.arrive("/stream/a", 0, SMALL);
      w.pass(300);
      assertTrue(w.isRefused());
      assertTrue(w.refused().retryAfterMillis() > 0);
      assertTrue(w.router.asks(w.now()).isEmpty());
    }

    @Test
    public void takesRoomByItselfOnceNoOneIsAsked() {
      RelayWorld w = world(RoomKeeping.ASK);
      w.arrive("/stream/a", 0, SMALL);
      w.apply(new RelayEvent.KeepingChanged(w.now(), RoomKeeping.EACH));
      assertEquals(w.sends(), 1);
    }

    @Test
    public void tellsWhichUpstreamsItWouldNotTake() {
      RelayWorld w = world(RoomKeeping.EACH);
      w.arrive("/stream/a", 0, SMALL);
      w.promptRead();
      UpstreamLife declined = w.sent().upstream().life();
      w.declined();
      w.apply(new RelayEvent.KeepingChanged(w.now(), RoomKeeping.ASK));
      w.arrive("/stream/a", 0, SMALL);
      assertTrue(w.router.asks(w.now()).getLast().without().contains(declined));
    }
  }

  /** The node that gives. */
  public static class Giving {
    @Test
    public void givesRoomAndReaderAtOnce() {
      RelayWorld w = world(RoomKeeping.KEEP);
      asked(w, ask(5, PROMPT));
      RelayEffect.GrantRoom grant = grants(w).getFirst();
      assertEquals(grant.node(), OTHER);
      assertEquals(grant.call(), new RequestId(5));
      assertEquals(grant.reader(), Optional.of(READ_1));
    }

    @Test
    public void givesNoMoreThanThereIs() {
      RelayWorld w = world(RoomKeeping.KEEP);
      long half = RelayWorld.MEMORY / 2;
      asked(w, ask(1, half), ask(2, half), ask(3, half));
      assertEquals(grants(w).size(), 2);
    }

    @Test
    public void tellsGrantsAgainThatTheNodeDoesNotKnowOf() {
      RelayWorld w = world(RoomKeeping.KEEP);
      asked(w, ask(5, PROMPT));
      asked(w, ask(5, PROMPT));
      assertEquals(grants(w).size(), 2);
      assertEquals(grants(w).get(0), grants(w).get(1));
    }

    @Test
    public void givesTheRoomToAnotherOnceItIsNotAskedForAnyMore() {
      RelayWorld w = world(RoomKeeping.KEEP);
      long most = (long) (0.9 * RelayWorld.MEMORY);
      asked(w, ask(1, most), ask(2, most), ask(3, most));
      assertEquals(grants(w).size(), 2);
      asked(w, ask(2, most), ask(3, most));
      assertEquals(grants(w).getLast().call(), new RequestId(3));
    }

    @Test
    public void countsWhatWasTakenByWhatTheNodeTells() {
      RelayWorld w = world(RoomKeeping.KEEP);
      long most = (long) (0.9 * RelayWorld.MEMORY);
      asked(w, ask(1, most), ask(2, most));
      ImmutableMap<UpstreamLife, Long> both =
          ImmutableMap.of(grants(w).get(0).home(), most, grants(w).get(1).home(), most);
      w.apply(new RelayEvent.LoadHeard(w.now(), OTHER, both, ImmutableSet.of()));
      asked(w, ask(3, most));
      assertEquals(grants(w).size(), 2);
      w.apply(new RelayEvent.LoadHeard(w.now(), OTHER, ImmutableMap.of(), ImmutableSet.of()));
      assertEquals(grants(w).size(), 3);
    }

    @Test
    public void givesAnotherUpstreamThanTheNodeWouldNotTake() {
      RelayWorld w = world(RoomKeeping.KEEP);
      asked(w, ask(5, PROMPT));
      UpstreamLife first = grants(w).getFirst().home();
      asked(w, ask(5, PROMPT, first));
      assertEquals(grants(w).size(), 2);
      assertFalse(grants(w).getLast().home().equals(first));
    }

    @Test
    public void forgetsNodesThatAreSilent() {
      RelayWorld w = world(RoomKeeping.KEEP);
      long most = (long) (0.9 * RelayWorld.MEMORY);
      asked(w, ask(1, most), ask(2, most));
      w.pass(1_600);
      w.arrive("/stream/a", 0, SMALL);
      assertEquals(w.sends(), 1);
    }

    @Test
    public void servesItsOwnAndOthersInOneOrder() {
      RelayWorld w = world(RoomKeeping.KEEP);
      long most = (long) (0.9 * RelayWorld.MEMORY);
      asked(w, ask(1, most), ask(2, most), ask(3, most));
      w.arrive("/stream/a", 0, new CallSize((int) most, 10, 10));
      assertEquals(w.sends(), 0);
      asked(w, ask(2, most), ask(3, most));
      assertEquals(grants(w).getLast().call(), new RequestId(3));
      asked(w, ask(3, most));
      assertEquals(w.sends(), 1);
    }

    @Test
    public void givesNothingForServicesThatItDoesNotKnow() {
      RelayWorld w = world(RoomKeeping.KEEP);
      RoomAsk strange =
          new RoomAsk(
              new RequestId(1),
              "wire-1",
              new ServiceName("strange"),
              1,
              0,
              true,
              false,
              0,
              900,
              PromptKey.NONE,
              ImmutableSet.of());
      asked(w, strange, ask(2, PROMPT));
      assertEquals(grants(w).size(), 1);
    }
  }
}
