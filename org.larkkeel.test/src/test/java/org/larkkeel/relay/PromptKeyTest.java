/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.larkkeel.lib.UpstreamName;
import org.testng.annotations.Test;

/** Tests the order of upstreams for a prompt key. */
public class PromptKeyTest {
  private static final int KEYS = 4_000;
  private static final List<UpstreamName> ENGINES =
      IntStream.range(0, 4).mapToObj(i -> new UpstreamName("engine-" + i)).toList();

  private static UpstreamName first(int key, List<UpstreamName> among) {
    PromptKey prompt = new PromptKey("part-" + key);
    return among.stream().min(Comparator.comparingDouble(prompt::rank)).orElseThrow();
  }

  /** The order by rank. */
  public static class Order {
    @Test
    public void isEvenlySpread() {
      Map<UpstreamName, Integer> firsts = new HashMap<>();
      IntStream.range(0, KEYS).forEach(i -> firsts.merge(first(i, ENGINES), 1, Integer::sum));
      for (UpstreamName engine : ENGINES) {
        // The mean is a thousand each; 137 is five standard deviations of the binomial count.
        assertEquals(firsts.get(engine), KEYS / 4.0, 137.0, engine.value());
      }
    }

    @Test
    public void changesOnlyForThePromptsOfRemovedEngines() {
      List<UpstreamName> remaining = ENGINES.subList(1, 4);
      for (int i = 0; i < KEYS; i++) {
        UpstreamName before = first(i, ENGINES);
        if (remaining.contains(before)) {
          assertEquals(first(i, remaining), before);
        }
      }
    }

    @Test
    public void isBelowOne() {
      for (int i = 0; i < KEYS; i++) {
        double rank = new PromptKey("part-" + i).rank(ENGINES.getFirst());
        assertTrue(rank >= 0 && rank < 1, "rank " + rank);
      }
    }
  }
}
