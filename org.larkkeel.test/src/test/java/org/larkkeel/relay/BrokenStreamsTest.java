/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.relay.RelayEffect.Purpose;
import org.testng.annotations.Test;

/**
 * Many streams that break at once and go on: all nodes lose power and their callers come back to
 * other nodes, or an engine crashes while all others are nearly full.
 *
 * <p>The sizes are those of the load it answers: prompts of some thousand tokens on engines that
 * hold about ten of them.
 */
public class BrokenStreamsTest {
  private static final CallSize SIZE = new CallSize(3_000, 1_500, 600);
  private static final CallSize HALF = new CallSize(8_000, 1_500, 600);
  private static final HostName OTHER = new HostName("node-2");
  private static final int PROMPTS = 20;

  private static PromptKey prompt(int i) {
    return new PromptKey("part-" + i);
  }

  /** Callers that come back to a node that knows nothing of them. */
  public static class AfterNodesRestart {
    @Test
    public void goBackToTheEngineThatMayKeepTheirPrompts() {
      for (int i = 0; i < PROMPTS; i++) {
        RelayWorld before = RelayWorld.usual();
        before.arrive("/resume/a", 14_000, SIZE, prompt(i), false);
        before.promptRead();
        RelayWorld after = RelayWorld.usual();
        after.arrive("/resume/a", 10_000, SIZE, prompt(i), true);
        assertEquals(after.sent().upstream(), before.sent().upstream(), "prompt " + i);
        assertEquals(after.sent().purpose(), new Purpose.Run(), "no engine reads it for another");
      }
    }

    @Test
    public void areNotAllSentToOneEngine() {
      ImmutableSet.Builder<UpstreamLife> homes = ImmutableSet.builder();
      for (int i = 0; i < PROMPTS; i++) {
        RelayWorld w = RelayWorld.usual();
        w.arrive("/resume/a", 10_000, SIZE, prompt(i), true);
        homes.add(w.sent().upstream().life());
      }
      assertEquals(homes.build().size(), 2);
    }

    @Test
    public void fetchTheirPromptsIfThatEngineIsFull() {
      RelayWorld w = RelayWorld.usual();
      w.arrive("/resume/a", 10_000, SIZE, prompt(1), true);
      final RelayUpstream first = w.sent().upstream();
      fill(w, first.life());
      w.arrive("/resume/a", 10_000, SIZE, prompt(1), true);
      assertNotEquals(w.sent().upstream(), first);
      assertEquals(w.sent().purpose(), new Purpose.Fetch(first));
    }

    @Test
    public void haveTheirPromptsReadIfTheyNameNone() {
      RelayWorld w = RelayWorld.usual();
      w.arrive("/resume/a", 10_000, SIZE, PromptKey.NONE, true);
      assertEquals(w.sent().purpose(), new Purpose.ReadPrompt());
    }
  }

  /** Streams whose engine is lost while the others are full. */
  public static class AfterAnEngineCrashes {
    @Test
    public void goBeforeCallsThatHaveNotBegun() {
      RelayWorld w = RelayWorld.usual();
      final RequestId begun = w.arrive("/resume/a", 14_000, SIZE);
      w.promptRead();
      w.began();
      UpstreamLife lost = w.sent().upstream().life();
      UpstreamLife other = other(lost);
      fill(w, other);
      w.lost();
      final int before = w.sends();
      final RequestId fresh = w.arrive("/resume/b", 14_000, HALF);
      assertEquals(w.sends(), before, "both wait");
      w.pass(100);
      free(w);
      w.pass(100);
      assertEquals(
          w.of(RelayEffect.Send.class).get(before).call(), begun, "not " + fresh + ", the fresh");
    }

    @Test
    public void areNotForcedOnFullEnginesWhileTheirCallersWait() {
      RelayWorld w = RelayWorld.usual();
      w.arrive("/resume/a", 14_000, SIZE);
      w.promptRead();
      w.began();
      fill(w, other(w.sent().upstream().life()));
      w.lost();
      final int before = w.sends();
      for (int i = 0; i < 3; i++) {
        w.pass(500);
        fill(w, RelayWorld.life("run-1"), RelayWorld.life("run-2"));
      }
      assertEquals(w.sends(), before, "it would push other streams out");
      assertFalse(w.isRefused());
    }

    @Test
    public void fetchThePromptFromItsReader() {
      RelayWorld w = RelayWorld.usual();
      w.arrive("/resume/a", 14_000, SIZE, prompt(1), false);
      w.promptRead();
      w.began();
      w.lost();
      assertTrue(w.sent().purpose() instanceof Purpose.Fetch);
      assertEquals(((Purpose.Fetch) w.sent().purpose()).source().id().value(), "read-1");
    }
  }

  private static UpstreamLife other(UpstreamLife one) {
    return RelayWorld.life(one.name().value().equals("run-1") ? "run-2" : "run-1");
  }

  /** Another node tells that it has filled engines. */
  private static void fill(RelayWorld w, UpstreamLife... engines) {
    ImmutableMap.Builder<UpstreamLife, Long> loads = ImmutableMap.builder();
    for (UpstreamLife engine : engines) {
      loads.put(engine, RelayWorld.MEMORY);
    }
    w.apply(new RelayEvent.LoadHeard(w.now(), OTHER, loads.buildOrThrow(), ImmutableSet.of()));
  }

  private static void free(RelayWorld w) {
    w.apply(new RelayEvent.LoadHeard(w.now(), OTHER, ImmutableMap.of(), ImmutableSet.of()));
  }
}
