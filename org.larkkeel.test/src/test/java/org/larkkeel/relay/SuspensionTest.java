/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

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
