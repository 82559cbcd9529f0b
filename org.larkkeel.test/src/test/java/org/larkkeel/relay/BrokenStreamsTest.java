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
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.relay.RelayEffect.Purpose;
import org.testng.annotations.Test;

/**
 * Guards against overload when many streams break at once and are resumed: all nodes lose power and
 * their callers retry at other nodes, or an engine crashes while all others are nearly full.
 *
 * <p>The sizes correspond to such loads: prompts of several thousand tokens on engines that hold
 * about ten of them.
 */
public class BrokenStreamsTest {
  private static final CallSize SIZE = new CallSize(3_000, 1_500, 600);
  private static final CallSize HALF = new CallSize(8_000, 1_500, 600);
  private static final HostName OTHER = new HostName("node-2");
  private static final int PROMPTS = 20;

  private static PromptKey prompt(int i) {
    return new PromptKey("part-" + i);
  }

  /** Callers that retry at a node that has no state about them. */
  public static class AfterNodesRestart {
    @Test
    public void returnToTheEngineThatMayHoldTheirPrompts() {
      for (int i = 0; i < PROMPTS; i++) {
        RelayWorld before = RelayWorld.withDefaults();
        before.arrive("/resume/a", 14_000, SIZE, prompt(i), false);
        before.promptRead();
        RelayWorld after = RelayWorld.withDefaults();
        after.arrive("/resume/a", 10_000, SIZE, prompt(i), true);
        assertEquals(after.sent().upstream(), before.sent().upstream(), "prompt " + i);
        assertEquals(
            after.sent().purpose(), new Purpose.Run(), "no other engine prefills the prompt");
      }
    }

    @Test
    public void areNotAllSentToOneEngine() {
      ImmutableSet.Builder<UpstreamIncarnation> engines = ImmutableSet.builder();
      for (int i = 0; i < PROMPTS; i++) {
        RelayWorld w = RelayWorld.withDefaults();
        w.arrive("/resume/a", 10_000, SIZE, prompt(i), true);
        engines.add(w.sent().upstream().incarnation());
      }
      assertEquals(engines.build().size(), 2);
    }

    @Test
    public void fetchTheirPromptsIfThatEngineIsFull() {
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/resume/a", 10_000, SIZE, prompt(1), true);
      final RelayUpstream first = w.sent().upstream();
      reportFull(w, first.incarnation());
      w.arrive("/resume/a", 10_000, SIZE, prompt(1), true);
      assertNotEquals(w.sent().upstream(), first);
      assertEquals(w.sent().purpose(), new Purpose.Fetch(first));
    }

    @Test
    public void useThePrefillUpstreamIfTheyNameNoPrompt() {
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/resume/a", 10_000, SIZE, PromptKey.NONE, true);
      assertEquals(w.sent().purpose(), new Purpose.ReadPrompt());
    }
  }

  /** Streams whose engine crashes while the other engines are full. */
  public static class AfterAnEngineCrashes {
    @Test
    public void precedeFirstTries() {
      RelayWorld w = RelayWorld.withDefaults();
      final RequestId streaming = w.arrive("/resume/a", 14_000, SIZE);
      w.promptRead();
      w.began();
      UpstreamIncarnation lost = w.sent().upstream().incarnation();
      UpstreamIncarnation other = other(lost);
      reportFull(w, other);
      w.lost();
      final int before = w.sendCount();
      final RequestId firstTry = w.arrive("/resume/b", 14_000, HALF);
      assertEquals(w.sendCount(), before, "both reservations are pending");
      w.pass(100);
      reportEmpty(w);
      w.pass(100);
      assertEquals(
          w.of(RelayEffect.Send.class).get(before).call(),
          streaming,
          "not " + firstTry + ", a first try");
    }

    @Test
    public void areNotPlacedOnFullEnginesWhileTheirCallersWait() {
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/resume/a", 14_000, SIZE);
      w.promptRead();
      w.began();
      reportFull(w, other(w.sent().upstream().incarnation()));
      w.lost();
      final int before = w.sendCount();
      for (int i = 0; i < 3; i++) {
        w.pass(500);
        reportFull(w, RelayWorld.incarnation("run-1"), RelayWorld.incarnation("run-2"));
      }
      assertEquals(w.sendCount(), before, "it would evict other streams");
      assertFalse(w.isRefused());
    }

    @Test
    public void fetchThePromptFromItsPrefillUpstream() {
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/resume/a", 14_000, SIZE, prompt(1), false);
      w.promptRead();
      w.began();
      w.lost();
      assertTrue(w.sent().purpose() instanceof Purpose.Fetch);
      assertEquals(((Purpose.Fetch) w.sent().purpose()).source().name().value(), "read-1");
    }
  }

  private static UpstreamIncarnation other(UpstreamIncarnation one) {
    return RelayWorld.incarnation(one.name().value().equals("run-1") ? "run-2" : "run-1");
  }

  /** Receives a report of another node that its load fills the engines. */
  private static void reportFull(RelayWorld w, UpstreamIncarnation... engines) {
    ImmutableMap.Builder<UpstreamIncarnation, Long> loads = ImmutableMap.builder();
    for (UpstreamIncarnation engine : engines) {
      loads.put(engine, RelayWorld.MEMORY);
    }
    w.apply(new RelayEvent.LoadHeard(w.now(), OTHER, loads.buildOrThrow(), ImmutableSet.of()));
  }

  private static void reportEmpty(RelayWorld w) {
    w.apply(new RelayEvent.LoadHeard(w.now(), OTHER, ImmutableMap.of(), ImmutableSet.of()));
  }
}
