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
 * Guards against leaked prompts: prompts that were prefilled for calls which end before they run
 * must be freed.
 *
 * <p>An engine holds such a prompt, and the memory for it, until the prompt is freed or its handle
 * expires.
 */
public class UnusedPromptTest {
  private static final CallSize SIZE = new CallSize(5_000, 700, 0);

  private static RequestId prefilled(RelayWorld w) {
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

  /** Calls that end before their run has taken over the prompt. */
  public static class BeforeTakeOver {
    @Test
    public void isFreedWhenTheCallerLeaves() {
      RelayWorld w = RelayWorld.withDefaults();
      RequestId id = prefilled(w);
      w.apply(new RelayEvent.CallerLeft(w.now(), id));
      assertEquals(w.of(RelayEffect.Free.class).size(), 1);
      assertEquals(wasted(w), 1);
    }

    @Test
    public void isFreedWhenTheRunIsLost() {
      RelayWorld w = RelayWorld.withDefaults();
      prefilled(w);
      w.lost();
      assertEquals(w.of(RelayEffect.Free.class).size(), 1);
      assertEquals(wasted(w), 1);
    }

    @Test
    public void isFreedAtTheDeadline() {
      RelayWorld w = RelayWorld.withDefaults();
      prefilled(w);
      w.pass(14_100);
      assertEquals(w.of(RelayEffect.Free.class).size(), 1);
      assertEquals(wasted(w), 1);
    }
  }

  /** Calls that end after their run has taken over the prompt. */
  public static class AfterTakeOver {
    @Test
    public void isNotFreedAgain() {
      RelayWorld w = RelayWorld.withDefaults();
      RequestId id = prefilled(w);
      w.began();
      w.apply(new RelayEvent.CallerLeft(w.now(), id));
      assertEquals(w.of(RelayEffect.Free.class).size(), 0);
      assertEquals(wasted(w), 0);
    }
  }
}
