/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.larkkeel.store.EntryProblem;
import org.larkkeel.store.EntryProblem.Reason;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs and counts the unreadable entries of a collection, each once until its problem changes.
 *
 * <p>Invariants: every new problem is counted; at most {@value #MAX_LINES} lines are logged per
 * {@link #PERIOD}, and the number of suppressed lines is logged with the next one. Only the current
 * problems are kept. Confined to one thread.
 */
final class UnreadableEntries {
  static final int MAX_LINES = 20;
  static final Duration PERIOD = Duration.ofSeconds(10);

  private static final Logger log = LoggerFactory.getLogger(UnreadableEntries.class);

  private final String collection;
  private final LongSupplier nanoTime;
  private final BiConsumer<String, Reason> counter;
  private ImmutableMap<String, EntryProblem> reportedProblems = ImmutableMap.of();
  private long periodStartNanos;
  private int linesInPeriod;
  private int suppressedLines;

  /**
   * Creates an instance without any known problem.
   *
   * @param collection the name of the collection in log lines and for the counter
   * @param nanoTime the monotonic clock
   * @param counter counts each new problem
   */
  UnreadableEntries(String collection, LongSupplier nanoTime, BiConsumer<String, Reason> counter) {
    this.collection = collection;
    this.nanoTime = nanoTime;
    this.counter = counter;
    this.periodStartNanos = nanoTime.getAsLong();
  }

  /**
   * Logs and counts the new problems.
   *
   * @param problems the problems of all entries that are unreadable now, by entry name
   */
  void update(Map<String, EntryProblem> problems) {
    if (problems.equals(reportedProblems)) {
      return;
    }
    problems.forEach(
        (name, problem) -> {
          if (!problem.equals(reportedProblems.get(name))) {
            counter.accept(collection, problem.reason());
            logProblem(name, problem);
          }
        });
    reportedProblems = ImmutableMap.copyOf(problems);
  }

  private void logProblem(String name, EntryProblem problem) {
    if (!mayLog()) {
      suppressedLines++;
      return;
    }
    if (suppressedLines > 0) {
      log.warn(
          "event=entries_unreadable_left_out collection={} lines={}", collection, suppressedLines);
      suppressedLines = 0;
    }
    log.warn(
        "event=entry_unreadable collection={} name=\"{}\" reason={} field={} found=\"{}\""
            + " expected=\"{}\"",
        collection,
        EntryProblem.printable(name),
        problem.reason(),
        problem.field(),
        problem.found(),
        problem.expected());
  }

  private boolean mayLog() {
    long nowNanos = nanoTime.getAsLong();
    if (nowNanos - periodStartNanos >= PERIOD.toNanos()) {
      periodStartNanos = nowNanos;
      linesInPeriod = 0;
    }
    return linesInPeriod++ < MAX_LINES;
  }
}
