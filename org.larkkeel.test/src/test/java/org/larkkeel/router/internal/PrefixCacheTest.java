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

/** What is believed of the prefixes that an engine keeps. */
public class PrefixCacheTest {
  private static final ImmutableLongArray NONE = ImmutableLongArray.of();

  /** Engines that start again. */
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
          config, new Rates(null), new PrefixIndex(), new Health(3, 1), () -> {});
    }

    private static void report(UpstreamState engine, long start, long asOf) {
      engine.reported(
          new LoadReport(new Incarnation(start), asOf, 2, 0, 0, 10, 10, ImmutableSet.of()));
    }

    private static void stored(UpstreamState engine, long start, long number, long key) {
      engine.cache.changed(new Incarnation(start), number, ImmutableLongArray.of(key), NONE);
    }

    @Test
    public void keepNothingOfBefore() {
      UpstreamState engine = engine();
      report(engine, 7, 10);
      stored(engine, 7, 1, 100);
      assertTrue(engine.cache.holds(100));
      report(engine, 8, 20);
      assertFalse(engine.cache.holds(100));
      stored(engine, 7, 2, 101);
      assertFalse(engine.cache.holds(101), "the change is of the earlier life");
    }

    @Test
    public void areFollowedThoughTheirClockWasSetBack() {
      UpstreamState engine = engine();
      report(engine, 17, 10);
      stored(engine, 17, 5, 100);
      report(engine, 6, 20);
      stored(engine, 6, 1, 101);
      assertFalse(engine.cache.holds(100));
      assertTrue(engine.cache.holds(101));
      stored(engine, 17, 6, 102);
      assertFalse(engine.cache.holds(102), "the change is of the earlier life");
    }
  }
}
