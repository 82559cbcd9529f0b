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
 * Tells of the entries of a collection that can not be read: each once, until it changes.
 *
 * <p>Invariants: every new problem is counted; at most {@value #MAX_LINES} are logged in {@link
 * #PERIOD}, and how many were left out is told with the next one. It remembers what is unreadable
 * now and nothing else. Confined to one thread.
 */
final class UnreadableEntries {
  static final int MAX_LINES = 20;
  static final Duration PERIOD = Duration.ofSeconds(10);

  private static final Logger log = LoggerFactory.getLogger(UnreadableEntries.class);

  private final String collection;
  private final LongSupplier nanoTime;
  private final BiConsumer<String, Reason> counter;
  private ImmutableMap<String, EntryProblem> told = ImmutableMap.of();
  private long periodBegan;
  private int lines;
  private int leftOut;

  /**
   * Creates one that has told nothing.
   *
   * @param collection names the collection, in lines and to the counter
   * @param nanoTime the steady clock
   * @param counter counts each new problem
   */
  UnreadableEntries(String collection, LongSupplier nanoTime, BiConsumer<String, Reason> counter) {
    this.collection = collection;
    this.nanoTime = nanoTime;
    this.counter = counter;
    this.periodBegan = nanoTime.getAsLong();
  }

  /**
   * Tells what is new.
   *
   * @param problems those of all entries that can not be read now, by the entries' names
   */
  void update(Map<String, EntryProblem> problems) {
    if (problems.equals(told)) {
      return;
    }
    problems.forEach(
        (name, problem) -> {
          if (!problem.equals(told.get(name))) {
            counter.accept(collection, problem.reason());
            tell(name, problem);
          }
        });
    told = ImmutableMap.copyOf(problems);
  }

  private void tell(String name, EntryProblem problem) {
    if (!mayLog()) {
      leftOut++;
      return;
    }
    if (leftOut > 0) {
      log.warn("event=entries_unreadable_left_out collection={} lines={}", collection, leftOut);
      leftOut = 0;
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
    long now = nanoTime.getAsLong();
    if (now - periodBegan >= PERIOD.toNanos()) {
      periodBegan = now;
      lines = 0;
    }
    return lines++ < MAX_LINES;
  }
}
