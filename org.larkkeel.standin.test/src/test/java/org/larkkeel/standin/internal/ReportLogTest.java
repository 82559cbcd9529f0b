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
    /** The reported load is the newest whose delay has passed, with its age. */
    @Test
    public void reportsNewestLoadOlderThanLag() {
      ReportLog reports = new ReportLog(LATE);
      for (int i = 0; i < 10; i++) {
        reports.sample(new Load(1, 0, "decode", 20, i, 0, 1, 1, List.of()), millis(i * 100L));
      }
      Load reported = reports.load(millis(930));
      assertEquals(reported.running(), 4);
      assertEquals(reported.ageMillis(), 530);
    }
  }

  /** Cache events. */
  public static class Events {
    /**
     * Events are reported after their delay, in order, and some are lost. The same seed loses the
     * same events.
     */
    @Test
    public void eventsAreLateAndLossy() {
      assertEquals(visibleNumbers(1_050), List.of());
      List<Long> numbers = visibleNumbers(10_000);
      assertTrue(numbers.size() < 100 && numbers.size() > 40, "reported: " + numbers.size());
      assertEquals(numbers, numbers.stream().sorted().distinct().toList());
      assertEquals(visibleNumbers(10_000), numbers);
    }

    private static List<Long> visibleNumbers(long atMillis) {
      ReportLog reports = new ReportLog(LATE);
      for (int i = 0; i < 100; i++) {
        reports.add(new PrefixCache.Change(List.of("key-" + i), List.of()), millis(100));
      }
      return reports.eventsAfter(0, millis(atMillis)).stream().map(CacheEvent::seq).toList();
    }
  }
}
