/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.larkkeel.daemon.settings.LimitSettings;
import org.testng.annotations.Test;

/** Tests of {@link Drain}. */
public class DrainTest {
  /** A node with a number of requests in progress. */
  private static final class Rig {
    final VirtualTime time = new VirtualTime();
    final List<String> steps = new ArrayList<>();
    int inProgress = 1;
    final Drain drain =
        new Drain(
            time,
            new Drain.Steps(
                () -> steps.add("unready"), () -> steps.add("refuse"), () -> inProgress == 0),
            LimitSettings.DEFAULT);
  }

  /** The order of the steps. */
  public static class Order {
    @Test
    public void unreadyThenRefuseThenWaitForTheLastRequest() {
      Rig rig = new Rig();
      final CompletableFuture<Void> done = rig.drain.begin();
      assertEquals(rig.steps, List.of("unready"));
      rig.time.advance(LimitSettings.DEFAULT.grace());
      assertEquals(rig.steps, List.of("unready", "refuse"));
      rig.time.advance(Duration.ofMinutes(1));
      assertFalse(done.isDone(), "a request in progress was cut");
      rig.inProgress = 0;
      rig.time.advance(Duration.ofSeconds(1));
      assertTrue(done.isDone());
    }

    @Test
    public void repeatedBeginHasNoFurtherEffect() {
      Rig rig = new Rig();
      CompletableFuture<Void> first = rig.drain.begin();
      assertSame(rig.drain.begin(), first);
      rig.time.advance(Duration.ofMinutes(1));
      assertEquals(rig.steps, List.of("unready", "refuse"));
    }
  }

  /** Ends before the last request. */
  public static class Bounds {
    @Test
    public void hurryEndsAtOnce() {
      Rig rig = new Rig();
      CompletableFuture<Void> done = rig.drain.begin();
      rig.drain.hurry();
      assertTrue(done.isDone());
    }

    @Test
    public void limitEndsTheWait() {
      Rig rig = new Rig();
      CompletableFuture<Void> done = rig.drain.begin();
      rig.time.advance(LimitSettings.DEFAULT.drain());
      assertFalse(done.isDone());
      rig.time.advance(LimitSettings.DEFAULT.grace().plusSeconds(1));
      assertTrue(done.isDone());
    }
  }
}
