/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Tests of {@link RelayFactLog}. */
public class RelayFactLogTest {
  /** Text that callers may have crafted to forge log lines. */
  public static class Hostile {
    @Test
    public void canNotEndLineOrField() {
      assertEquals(
          RelayFactLog.id("a\nevent=x\" b=c" + (char) 0 + (char) 0x20ac), "a?event=x??b=c??");
    }

    @Test
    public void isTruncated() {
      assertEquals(RelayFactLog.id("x".repeat(10_000)).length(), 160);
    }
  }
}
