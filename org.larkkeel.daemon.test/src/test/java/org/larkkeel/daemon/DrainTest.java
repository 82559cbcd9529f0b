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
  /** A node with one request in progress that records the steps of its drain. */
  private static final class TestNode {
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
      TestNode node = new TestNode();
      final CompletableFuture<Void> done = node.drain.begin();
      assertEquals(node.steps, List.of("unready"));
      node.time.advance(LimitSettings.DEFAULT.grace());
      assertEquals(node.steps, List.of("unready", "refuse"));
      node.time.advance(Duration.ofMinutes(1));
      assertFalse(done.isDone(), "the drain did not wait for the request in progress");
      node.inProgress = 0;
      node.time.advance(Duration.ofSeconds(1));
      assertTrue(done.isDone());
    }

    @Test
    public void repeatedBeginHasNoFurtherEffect() {
      TestNode node = new TestNode();
      CompletableFuture<Void> first = node.drain.begin();
      assertSame(node.drain.begin(), first);
      node.time.advance(Duration.ofMinutes(1));
      assertEquals(node.steps, List.of("unready", "refuse"));
    }
  }

  /** Drains that end before the last request has ended. */
  public static class Bounds {
    @Test
    public void finishNowEndsDrainImmediately() {
      TestNode node = new TestNode();
      CompletableFuture<Void> done = node.drain.begin();
      node.drain.finishNow();
      assertTrue(done.isDone());
    }

    @Test
    public void timeLimitEndsDrain() {
      TestNode node = new TestNode();
      CompletableFuture<Void> done = node.drain.begin();
      node.time.advance(LimitSettings.DEFAULT.drain());
      assertFalse(done.isDone());
      node.time.advance(LimitSettings.DEFAULT.grace().plusSeconds(1));
      assertTrue(done.isDone());
    }
  }
}
