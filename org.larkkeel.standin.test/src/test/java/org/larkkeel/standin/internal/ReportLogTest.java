/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.larkkeel.standin.EngineReports;
import org.larkkeel.standin.internal.EngineMessages.CacheEvent;
import org.larkkeel.standin.internal.EngineMessages.Load;
import org.testng.annotations.Test;

/** Tests of {@link ReportLog}. */
public class ReportLogTest {
  private static final EngineReports LATE = new EngineReports(500, 1_000, 0.3, 7);

  private static long millis(long value) {
    return TimeUnit.MILLISECONDS.toNanos(value);
  }

  /** Load reports. */
  public static class Loads {
    /** The load shown is the newest that is old enough, with its age. */
    @Test
    public void lag() {
      ReportLog reports = new ReportLog(LATE);
      for (int i = 0; i < 10; i++) {
        reports.sample(new Load(1, 0, "decode", 20, i, 0, 1, 1, List.of()), millis(i * 100L));
      }
      Load shown = reports.load(millis(930));
      assertEquals(shown.running(), 4);
      assertEquals(shown.ageMillis(), 530);
    }
  }

  /** Cache events. */
  public static class Events {
    /** Events appear late, in order and with gaps; the same seed loses the same ones. */
    @Test
    public void lateWithGaps() {
      assertEquals(seqs(1_050), List.of());
      List<Long> all = seqs(10_000);
      assertTrue(all.size() < 100 && all.size() > 40, "shown: " + all.size());
      assertEquals(all, all.stream().sorted().distinct().toList());
      assertEquals(seqs(10_000), all);
    }

    private static List<Long> seqs(long atMillis) {
      ReportLog reports = new ReportLog(LATE);
      for (int i = 0; i < 100; i++) {
        reports.add(new PrefixCache.Change(List.of("key-" + i), List.of()), millis(100));
      }
      return reports.eventsAfter(0, millis(atMillis)).stream().map(CacheEvent::seq).toList();
    }
  }
}
