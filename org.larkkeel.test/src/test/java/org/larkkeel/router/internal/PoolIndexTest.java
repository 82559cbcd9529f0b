/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.integers;
import static org.quicktheories.generators.SourceDSL.lists;
import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Map;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.ConfigurationBuilder;
import org.larkkeel.config.FencingSupport;
import org.larkkeel.config.ObjectId;
import org.larkkeel.config.ObjectKind;
import org.larkkeel.config.Pool;
import org.larkkeel.config.Role;
import org.larkkeel.config.Upstream;
import org.larkkeel.lib.Labels;
import org.larkkeel.lib.PoolName;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.selector.Selector;
import org.testng.annotations.Test;

/** Compares {@link PoolIndex} with a selection over all upstreams. */
public class PoolIndexTest {
  private static final long SEED = 11;
  private static final List<Selector> SELECTORS =
      List.of(Selector.ALL, Selector.parse("gen=old"), Selector.parse("gen!=old"));
  private static final List<String> PHASES = List.of("", "leaving", "live");

  private PoolIndexTest() {}

  private static Upstream upstream(int id, String generation, String phase) {
    return new Upstream(
        new UpstreamName("u" + id),
        "10.0.0." + id + ":1",
        Labels.of(Map.of("gen", generation, Upstream.PHASE_LABEL, phase)),
        ImmutableSet.of(),
        1,
        FencingSupport.IGNORED,
        1);
  }

  private static Pool pool(int id, Selector selector) {
    return new Pool(new PoolName("p" + id), Role.DECODE, Labels.NONE, selector);
  }

  /** Changes one object; the numbers select the object and the change. */
  private static Configuration step(Configuration from, int id, int choice) {
    ConfigurationBuilder next = new ConfigurationBuilder(from);
    if (choice < 6) {
      next.put(upstream(id, choice % 2 == 0 ? "old" : "new", PHASES.get(choice / 2)));
    } else if (choice < 9) {
      next.put(pool(id % 2, SELECTORS.get(choice - 6)));
    } else if (choice == 9) {
      next.remove(new ObjectId(ObjectKind.UPSTREAM, "u" + id));
    } else {
      next.remove(new ObjectId(ObjectKind.POOL, "p" + id % 2));
    }
    return next.build();
  }

  /** The members of a pool. */
  public static class Members {
    @Test
    public void leavingUpstreamIsInNoPool() {
      Configuration before =
          new ConfigurationBuilder(Configuration.EMPTY)
              .put(upstream(1, "old", "live"))
              .put(pool(0, Selector.ALL))
              .build();
      PoolIndex index = new PoolIndex();
      index.apply(before);
      assertEquals(index.members(new PoolName("p0")), ImmutableSet.of(new UpstreamName("u1")));
      index.apply(new ConfigurationBuilder(before).put(upstream(1, "old", "leaving")).build());
      assertEquals(index.members(new PoolName("p0")), ImmutableSet.of());
    }

    @Test
    public void membersEqualSelectionAfterEveryStep() {
      qt().withFixedSeed(SEED)
          .withExamples(2000)
          .forAll(
              lists()
                  .of(integers().between(1, 3).zip(integers().between(0, 10), List::of))
                  .ofSizeBetween(0, 20))
          .checkAssert(Members::compareAfterEachStep);
    }

    private static void compareAfterEachStep(List<List<Integer>> history) {
      PoolIndex index = new PoolIndex();
      Configuration now = Configuration.EMPTY;
      for (List<Integer> step : history) {
        now = step(now, step.get(0), step.get(1));
        index.apply(now);
        for (int id = 0; id < 2; id++) {
          PoolName name = new PoolName("p" + id);
          assertEquals(index.members(name), scan(now, name));
        }
      }
    }

    private static ImmutableSet<UpstreamName> scan(Configuration configuration, PoolName name) {
      Pool pool = configuration.pools().get(name);
      return configuration.upstreams().values().stream()
          .filter(u -> pool != null && pool.upstreams().matches(u.labels()))
          .filter(u -> !u.labels().entries().get(Upstream.PHASE_LABEL).equals("leaving"))
          .map(Upstream::name)
          .collect(ImmutableSet.toImmutableSet());
    }
  }
}
