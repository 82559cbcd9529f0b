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

/** The order of upstreams that a prompt's name gives. */
public class PromptKeyTest {
  private static final int KEYS = 4_000;
  private static final List<UpstreamName> ENGINES =
      IntStream.range(0, 4).mapToObj(i -> new UpstreamName("engine-" + i)).toList();

  private static UpstreamName first(int key, List<UpstreamName> among) {
    PromptKey prompt = new PromptKey("part-" + key);
    return among.stream().min(Comparator.comparingDouble(prompt::rank)).orElseThrow();
  }

  /** One order. */
  public static class Order {
    @Test
    public void isEvenlySpread() {
      Map<UpstreamName, Integer> firsts = new HashMap<>();
      IntStream.range(0, KEYS).forEach(i -> firsts.merge(first(i, ENGINES), 1, Integer::sum));
      for (UpstreamName engine : ENGINES) {
        // A thousand each; five standard deviations of a binomial count are 137.
        assertEquals(firsts.get(engine), KEYS / 4.0, 137.0, engine.value());
      }
    }

    @Test
    public void changesOnlyForThePromptsOfAnEngineThatIsGone() {
      List<UpstreamName> left = ENGINES.subList(1, 4);
      for (int i = 0; i < KEYS; i++) {
        UpstreamName before = first(i, ENGINES);
        if (left.contains(before)) {
          assertEquals(first(i, left), before);
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
