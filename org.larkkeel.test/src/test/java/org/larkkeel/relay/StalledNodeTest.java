/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import static org.testng.Assert.assertEquals;

import org.larkkeel.errors.ErrorKind;
import org.testng.annotations.Test;

/**
 * Tests that a node whose event loop was held up does not act on what it read from the store
 * before.
 *
 * <p>Guards against a node that was held up for seconds and then refused calls of rules that had
 * been added meanwhile, or sent calls by rules that had been removed.
 */
public class StalledNodeTest {
  private static final long STALL_MILLIS = 19_000;

  /** Calls that arrive before the state of the store was confirmed. */
  public static class Unconfirmed {
    /** Guards against 404 for a rule that the configuration from before the stall lacks. */
    @Test
    public void refusesCallWithoutRuleAsNotReady() {
      RelayWorld w = RelayWorld.withDefaults();
      w.stall(STALL_MILLIS);
      w.arrive("/added/a");
      assertEquals(w.refusal(), ErrorKind.NOT_READY);
    }
  }
}
