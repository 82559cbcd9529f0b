/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Memory at upstreams of runs that move: the handles of their copies are used or freed once. */
public class CopiesOfRunsTest {
  private static final CallSize SMALL = new CallSize(2_000, 1_000, 1_000);
  private static final MoveResult COPIED = new MoveResult.Copied("copy");

  private static int freed(RelayWorld w) {
    return w.of(RelayEffect.Free.class).size();
  }

  /** Copies that no run goes on from. */
  public static class Copies {
    private static RelayWorld copying() {
      RelayWorld w = RelayWorld.usual();
      w.arrive("/stream/a", 14_000, SMALL);
      w.promptRead();
      w.began();
      w.leave(w.sent().upstream().id().value());
      w.pass(1_250);
      assertEquals(w.of(RelayEffect.Move.class).size(), 1);
      return w;
    }

    @Test
    public void areFreedWhenTheCallerLeavesBeforeTheStopIsAnswered() {
      RelayWorld w = copying();
      w.moved(COPIED);
      w.apply(new RelayEvent.CallerLeft(w.now(), w.sent().call()));
      assertEquals(freed(w), 1);
    }

    @Test
    public void areFreedWhenTheyAreCompleteAfterTheCallerLeft() {
      RelayWorld w = copying();
      w.apply(new RelayEvent.CallerLeft(w.now(), w.sent().call()));
      w.moved(COPIED);
      assertEquals(freed(w), 1);
    }

    @Test
    public void areFreedWhenTheRunEndsBeforeItIsStopped() {
      RelayWorld w = copying();
      w.moved(COPIED);
      w.answered(AnswerGrade.GOOD);
      w.moved(new MoveResult.NoRun());
      assertEquals(w.of(RelayEffect.Deliver.class).size(), 1);
      assertEquals(freed(w), 1);
    }

    @Test
    public void areFreedWhenTheStopFailsAndTheStreamIsCut() {
      RelayWorld w = copying();
      w.moved(COPIED);
      w.lost();
      w.moved(new MoveResult.Failed());
      assertEquals(w.of(RelayEffect.Cut.class).size(), 1);
      assertEquals(freed(w), 1);
    }

    private static RelayWorld goesOn() {
      RelayWorld w = copying();
      w.moved(COPIED);
      w.lost();
      w.moved(COPIED);
      assertTrue(w.sent().purpose() instanceof RelayEffect.Purpose.Continue);
      return w;
    }

    @Test
    public void areFreedWhenTheCallerLeavesBeforeTheRunGoesOn() {
      RelayWorld w = goesOn();
      w.apply(new RelayEvent.CallerLeft(w.now(), w.sent().call()));
      assertEquals(freed(w), 1);
    }

    @Test
    public void areFreedWhenTheRunThatWouldGoOnIsDeclined() {
      RelayWorld w = goesOn();
      w.declined();
      assertEquals(w.of(RelayEffect.Cut.class).size(), 1);
      assertEquals(freed(w), 1);
    }
  }
}
