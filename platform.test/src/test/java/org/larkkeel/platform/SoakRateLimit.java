/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Announces the rate limit of a runner in its answers, and checks that nodes comply: from 3 s after
 * the limit was set, at most one and a half times the allowed requests plus five arrive in any 4 s.
 *
 * <p>Only requests of nodes that got the header at least half a second before count, and none of
 * nodes that were disturbed since.
 *
 * <p>Safe for use by several threads.
 */
final class SoakRateLimit {
  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(4);
  private static final long BINDS_AFTER_NANOS = TimeUnit.SECONDS.toNanos(3);
  private static final long KNOWN_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final SoakLedger ledger;
  private final Map<Integer, Long> announcedAt = new HashMap<>();
  private final Deque<Long> arrivals = new ArrayDeque<>();
  private Optional<Double> perSecond = Optional.empty();
  private long setAt;

  SoakRateLimit(SoakLedger ledger) {
    this.ledger = ledger;
  }

  synchronized void set(double limit) {
    perSecond = Optional.of(limit);
    setAt = System.nanoTime();
    announcedAt.clear();
    arrivals.clear();
  }

  synchronized void remove() {
    perSecond = Optional.empty();
  }

  /** Returns the header of an answer to a node; empty without a limit. */
  synchronized String header(int node) {
    perSecond.ifPresent(l -> announcedAt.putIfAbsent(node, System.nanoTime()));
    return perSecond.map(l -> "Server-Limit: " + l + "\r\n").orElse("");
  }

  /** Checks a request of a node that has reached the runner. */
  synchronized void reached(int node, String wire) {
    long now = System.nanoTime();
    Long announced = announcedAt.get(node);
    boolean binds = perSecond.isPresent() && now - setAt >= BINDS_AFTER_NANOS;
    if (!binds || announced == null || now - announced < KNOWN_AFTER_NANOS) {
      return;
    }
    if (Soak.isNodeDisturbed(node)) {
      announcedAt.remove(node);
      return;
    }
    arrivals.add(now);
    while (arrivals.peek() < now - WINDOW_NANOS) {
      arrivals.remove();
    }
    double allowed = 1.5 * 4 * perSecond.get() + 5;
    if (arrivals.size() > allowed) {
      ledger.violation(
          "limit", wire + " is one of " + arrivals.size() + " in 4 s at limit " + perSecond.get());
    }
  }
}
