/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.larkkeel.store.EntryProblem;
import org.larkkeel.store.EntryProblem.Reason;
import org.slf4j.LoggerFactory;
import org.testng.annotations.Test;

/** Tests of {@link UnreadableEntries}. */
public class UnreadableEntriesTest {
  /** Unreadable entries whose log lines and counts are captured. */
  private static final class Fixture implements AutoCloseable {
    final List<String> counted = new ArrayList<>();
    final ListAppender<ILoggingEvent> lines = new ListAppender<>();
    final Logger logger = (Logger) LoggerFactory.getLogger(UnreadableEntries.class);
    long now = 5;
    final UnreadableEntries entries =
        new UnreadableEntries("upstreams", () -> now, (c, reason) -> counted.add(c + " " + reason));

    Fixture() {
      lines.start();
      logger.addAppender(lines);
    }

    List<String> lines() {
      return lines.list.stream().map(ILoggingEvent::getFormattedMessage).toList();
    }

    @Override
    public void close() {
      logger.detachAppender(lines);
    }
  }

  private static EntryProblem slots(String found) {
    return new EntryProblem(Reason.WRONG_TYPE, "slots", found, "a whole number");
  }

  /** A single entry. */
  public static class OneEntry {
    @Test
    public void isLoggedWithNameFieldFoundAndExpected() {
      try (Fixture w = new Fixture()) {
        w.entries.update(Map.of("i-1", slots("'six'")));
        assertEquals(
            w.lines(),
            List.of(
                "event=entry_unreadable collection=upstreams name=\"i-1\" reason=WRONG_TYPE"
                    + " field=slots found=\"'six'\" expected=\"a whole number\""));
        assertEquals(w.counted, List.of("upstreams WRONG_TYPE"));
      }
    }

    @Test
    public void isLoggedOnceUntilItChanges() {
      try (Fixture w = new Fixture()) {
        w.entries.update(Map.of("i-1", slots("'six'")));
        w.entries.update(Map.of("i-1", slots("'six'"), "i-2", slots("'six'")));
        assertEquals(w.counted.size(), 2);
        w.entries.update(Map.of("i-1", slots("'seven'")));
        assertEquals(w.counted.size(), 3);
        assertEquals(w.lines().size(), 3);
      }
    }

    @Test
    public void isLoggedAgainAfterItWasReadable() {
      try (Fixture w = new Fixture()) {
        w.entries.update(Map.of("i-1", slots("'six'")));
        w.entries.update(Map.of());
        w.entries.update(Map.of("i-1", slots("'six'")));
        assertEquals(w.lines().size(), 2);
      }
    }

    @Test
    public void canNotForgeLines() {
      try (Fixture w = new Fixture()) {
        w.entries.update(Map.of("i\n\"1\u001b[0m", slots("\n\"" + "x".repeat(1_000))));
        String line = w.lines().getFirst();
        assertTrue(line.chars().allMatch(c -> c >= ' ' && c < 0x7f), line);
        assertTrue(line.length() < 300, line);
        assertEquals(line.chars().filter(c -> c == '"').count(), 6);
      }
    }
  }

  /** Many entries at once. */
  public static class ManyEntries {
    @Test
    public void areLoggedAtBoundedRateAndAllCounted() {
      try (Fixture w = new Fixture()) {
        Map<String, EntryProblem> many = new TreeMap<>();
        for (int i = 0; i < 600; i++) {
          many.put("i-" + i, slots("null"));
        }
        w.entries.update(many);
        assertEquals(w.lines().size(), UnreadableEntries.MAX_LINES);
        assertEquals(w.counted.size(), 600);
        w.now += UnreadableEntries.PERIOD.toNanos();
        w.entries.update(Map.of("i-x", slots("null")));
        assertTrue(
            w.lines()
                .contains("event=entries_unreadable_left_out collection=upstreams" + " lines=580"));
        assertFalse(w.lines().getLast().contains("left_out"));
      }
    }
  }
}
