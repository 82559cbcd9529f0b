/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import static org.testng.Assert.assertEquals;

import org.larkkeel.lib.RequestId;
import org.larkkeel.relay.RelayEffect.Purpose;
import org.testng.annotations.Test;

/**
 * Prompts that were read for calls which end before they run.
 *
 * <p>An engine holds such a prompt, and the memory for it, until it is freed or its time is over.
 */
public class LeftPromptTest {
  private static final CallSize SIZE = new CallSize(5_000, 700, 0);

  private static RequestId handedOver(RelayWorld w) {
    RequestId id = w.arrive("/stream/a", 14_000, SIZE);
    w.promptRead();
    assertEquals(w.sent().purpose().getClass(), Purpose.TakeOver.class);
    return id;
  }

  private static long wasted(RelayWorld w) {
    return w.of(RelayEffect.Report.class).stream()
        .filter(r -> r.fact() instanceof RelayFact.PromptWasted)
        .count();
  }

  /** Calls whose prompt waits to be taken over. */
  public static class BeforeTheRunBegins {
    @Test
    public void isFreedWhenTheCallerLeaves() {
      RelayWorld w = RelayWorld.usual();
      RequestId id = handedOver(w);
      w.apply(new RelayEvent.CallerLeft(w.now(), id));
      assertEquals(w.of(RelayEffect.Free.class).size(), 1);
      assertEquals(wasted(w), 1);
    }

    @Test
    public void isFreedWhenItsTakerIsLost() {
      RelayWorld w = RelayWorld.usual();
      handedOver(w);
      w.lost();
      assertEquals(w.of(RelayEffect.Free.class).size(), 1);
      assertEquals(wasted(w), 1);
    }

    @Test
    public void isFreedAtTheDeadline() {
      RelayWorld w = RelayWorld.usual();
      handedOver(w);
      w.pass(14_100);
      assertEquals(w.of(RelayEffect.Free.class).size(), 1);
      assertEquals(wasted(w), 1);
    }
  }

  /** Calls whose prompt was taken over. */
  public static class AfterTheRunHasBegun {
    @Test
    public void isNotFreedAgain() {
      RelayWorld w = RelayWorld.usual();
      RequestId id = handedOver(w);
      w.began();
      w.apply(new RelayEvent.CallerLeft(w.now(), id));
      assertEquals(w.of(RelayEffect.Free.class).size(), 0);
      assertEquals(wasted(w), 0);
    }
  }
}
