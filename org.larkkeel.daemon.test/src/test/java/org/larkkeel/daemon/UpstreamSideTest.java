/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.testng.annotations.Test;

/** Tests how often a node asks engines. */
public class UpstreamSideTest {
  /** The time between two polls. */
  public static class PollDelay {
    private static final Duration MEAN = Duration.ofMillis(250);

    @Test
    public void isAsSetWhileRequestsAreInProgress() {
      assertEquals(UpstreamSide.pollDelay(MEAN.toNanos(), 1), MEAN);
    }

    @Test
    public void isLongerOnIdleNode() {
      assertEquals(UpstreamSide.pollDelay(MEAN.toNanos(), 0), Duration.ofSeconds(2));
    }
  }
}
