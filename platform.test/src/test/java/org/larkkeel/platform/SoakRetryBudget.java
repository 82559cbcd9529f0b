/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Checks the retry budget of each service over all nodes and all of their lives: in any window, no
 * more arrivals at runners beyond the first of each request than a share of the requests, and the
 * slack.
 *
 * <p>Arrivals that a runner rejects count. The first prefill of a request that a runner accepts
 * does not. Safe for use by several threads.
 */
final class SoakRetryBudget {
  static final double SHARE = 0.2;
  static final int SLACK = 20;
  static final int WINDOW_SECONDS = 10;
  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(WINDOW_SECONDS);

  private final Map<String, List<Long>> requests = new HashMap<>();
  private final Map<String, List<Long>> repeats = new HashMap<>();
  private final Set<String> arrived = new HashSet<>();
  private final Set<String> prefilled = new HashSet<>();

  /** Records a request of a caller, whether or not it arrives at a runner. */
  synchronized void requested(String service) {
    requests.computeIfAbsent(service, s -> new ArrayList<>()).add(System.nanoTime());
  }

  /** Records a request that reached a runner. */
  synchronized void arrived(String service, String id) {
    if (!arrived.add(id)) {
      repeats.computeIfAbsent(service, s -> new ArrayList<>()).add(System.nanoTime());
    }
  }

  /** Records a prefill that a runner accepted. */
  synchronized void prefilled(String service, String id) {
    if (!prefilled.add(id)) {
      arrived(service, id);
    }
  }

  /** Adds a violation for each service whose budget was exceeded, and returns the highest use. */
  synchronized double check(SoakLedger ledger) {
    double highest = 0;
    for (Map.Entry<String, List<Long>> e : repeats.entrySet()) {
      double use = highestUse(e.getValue(), requests.getOrDefault(e.getKey(), List.of()));
      highest = Math.max(highest, use);
      if (use > 1) {
        ledger.violation("budget", "%s got %.2f of its retries".formatted(e.getKey(), use));
      }
    }
    return highest;
  }

  /** Returns the highest number of repeats in a window, as a share of the allowed number. */
  private static double highestUse(List<Long> repeats, List<Long> requests) {
    double highest = 0;
    for (long end : repeats) {
      int owed =
          Collections.max(
              List.of(
                  countBefore(requests, end),
                  countBefore(requests, end - WINDOW_NANOS / 2),
                  countBefore(requests, end - WINDOW_NANOS)));
      highest = Math.max(highest, countBefore(repeats, end) / (SHARE * owed + SLACK));
    }
    return highest;
  }

  /** Returns the number of times in the window that ends at a time, inclusive. */
  private static int countBefore(List<Long> times, long end) {
    return (int) times.stream().filter(t -> t <= end && t > end - WINDOW_NANOS).count();
  }
}
