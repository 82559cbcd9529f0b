/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.ImmutableLongArray;
import org.larkkeel.config.FencingSupport;
import org.larkkeel.config.Upstream;
import org.larkkeel.event.LoadReport;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.Labels;
import org.larkkeel.lib.UpstreamName;
import org.testng.annotations.Test;

/** Guards against routing by cached prefixes that an engine lost in a restart. */
public class PrefixCacheTest {
  private static final ImmutableLongArray NONE = ImmutableLongArray.of();

  /** Engines that restart. */
  public static class Restarted {
    private static UpstreamState engine() {
      Upstream config =
          new Upstream(
              new UpstreamName("e1"),
              "127.0.0.1:1",
              Labels.NONE,
              ImmutableSet.of(),
              4,
              FencingSupport.IGNORED,
              Upstream.DEFAULT_LINK_BYTES_PER_SECOND);
      return new UpstreamState(
          config, new SpeedEstimates(null), new PrefixIndex(), new Health(3, 1), () -> {});
    }

    private static void report(UpstreamState engine, long incarnation, long asOf) {
      engine.applyReport(
          new LoadReport(new Incarnation(incarnation), asOf, 2, 0, 0, 10, 10, ImmutableSet.of()));
    }

    private static void stored(UpstreamState engine, long incarnation, long sequence, long key) {
      engine.cache.applyChange(
          new Incarnation(incarnation), sequence, ImmutableLongArray.of(key), NONE);
    }

    @Test
    public void loseTheirCachedPrefixes() {
      UpstreamState engine = engine();
      report(engine, 7, 10);
      stored(engine, 7, 1, 100);
      assertTrue(engine.cache.contains(100));
      report(engine, 8, 20);
      assertFalse(engine.cache.contains(100));
      stored(engine, 7, 2, 101);
      assertFalse(engine.cache.contains(101), "the change belongs to the earlier incarnation");
    }

    @Test
    public void areDetectedThoughTheirClockWasSetBack() {
      UpstreamState engine = engine();
      report(engine, 17, 10);
      stored(engine, 17, 5, 100);
      report(engine, 6, 20);
      stored(engine, 6, 1, 101);
      assertFalse(engine.cache.contains(100));
      assertTrue(engine.cache.contains(101));
      stored(engine, 17, 6, 102);
      assertFalse(engine.cache.contains(102), "the change belongs to the earlier incarnation");
    }
  }
}
