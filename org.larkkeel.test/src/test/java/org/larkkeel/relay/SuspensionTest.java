/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.larkkeel.errors.ErrorKind;
import org.testng.annotations.Test;

/**
 * Tests that calls and attempts whose time ran out while the machine was suspended are ended, and
 * nothing is sent for them.
 */
public class SuspensionTest {
  private static final CallSize SMALL = new CallSize(2_000, 1_000, 1_000);

  @Test
  public void callsPastTheirDeadlineEndBeforeAnythingIsSent() {
    RelayWorld w = RelayWorld.withDefaults();
    w.remove("run-1", "run-2");
    w.pass(1_600);
    w.arrive("/stream/a", 14_000, SMALL);
    assertFalse(w.isRefused());
    final int sends = w.sendCount();
    w.suspend(20_000);
    assertTrue(w.isRefused());
    w.add("run-3", RelayWorld.MODEL, Stage.DECODE);
    w.applyDiscoveryList();
    assertEquals(w.sendCount(), sends);
  }

  /** Guards against a call past its deadline that is sent as its upstreams' backoff is over. */
  @Test
  public void callsPastTheirDeadlineAreNotSentWhenBackoffsEnd() {
    RelayWorld w = RelayWorld.withDefaults();
    w.arrive("/resume/a", 14_000, SMALL);
    w.promptRead();
    w.began();
    for (String engine : List.of("run-1", "run-2")) {
      w.apply(
          new RelayEvent.Noticed(
              w.now(),
              RelayWorld.incarnation(engine),
              w.now(),
              new UpstreamNotice(false, 3_000 * RelayWorld.MILLI, RateLimitNotice.UNKNOWN)));
    }
    w.lost();
    final int sends = w.sendCount();
    w.suspend(30_000);
    assertEquals(w.sendCount(), sends);
    assertEquals(w.of(RelayEffect.Cut.class).size(), 1);
  }

  @Test
  public void attemptsPastTheirDeadlineAreCancelled() {
    RelayWorld w = RelayWorld.withDefaults();
    w.arrive("/once/a");
    w.suspend(5_000);
    assertEquals(w.of(RelayEffect.Cancel.class).size(), 1);
    assertEquals(w.refusal(), ErrorKind.DEADLINE_EXCEEDED);
  }

  @Test
  public void callsBeforeTheirDeadlineContinue() {
    RelayWorld w = RelayWorld.withDefaults();
    w.arrive("/stream/a", 14_000, SMALL);
    w.suspend(1_000);
    w.promptRead();
    assertEquals(w.sendCount(), 2);
  }

  @Test
  public void isReported() {
    RelayWorld w = RelayWorld.withDefaults();
    w.suspend(3_000);
    assertEquals(
        w.of(RelayEffect.Report.class).getLast().fact(),
        new RelayFact.Resumed(3_000 * RelayWorld.MILLI));
  }
}
