/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.testng.annotations.Test;

/** Tests of {@link UpstreamModule}. */
public class UpstreamModuleTest {
  /** The time between two polls of an engine. */
  public static class PollDelay {
    private static final Duration MEAN = Duration.ofMillis(250);

    @Test
    public void isConfiguredValueWhileRequestsAreInProgress() {
      assertEquals(UpstreamModule.pollDelay(MEAN.toNanos(), 1), MEAN);
    }

    @Test
    public void isLongerOnIdleNode() {
      assertEquals(UpstreamModule.pollDelay(MEAN.toNanos(), 0), Duration.ofSeconds(2));
    }
  }
}
