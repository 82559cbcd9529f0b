/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** The lines of the relay's log. */
public class RelayFactLogTest {
  /** Text that came from callers. */
  public static class Hostile {
    @Test
    public void canNotEndLineOrField() {
      assertEquals(
          RelayFactLog.id("a\nevent=x\" b=c" + (char) 0 + (char) 0x20ac), "a?event=x??b=c??");
    }

    @Test
    public void canNotBeLong() {
      assertEquals(RelayFactLog.id("x".repeat(10_000)).length(), 160);
    }
  }
}
