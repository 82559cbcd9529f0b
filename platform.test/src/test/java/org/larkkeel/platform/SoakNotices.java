/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Records the notices of leaving and backoff that one incarnation of a runner has sent to nodes in
 * its answers, and checks that the nodes comply.
 *
 * <p>Safe for use by several threads.
 */
final class SoakNotices {
  private static final long BACKOFF_KNOWN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final int MAX_DURING_BACKOFF = 2;

  private final SoakLedger ledger;
  private final Map<Integer, Long> leavingSince = new HashMap<>();
  private final Map<Integer, Backoff> backoffs = new HashMap<>();

  /** A backoff that a node was asked for. */
  private static final class Backoff {
    private final long from;
    private final long until;
    private int requests;

    Backoff(long from, long until) {
      this.from = from;
      this.until = until;
    }
  }

  SoakNotices(SoakLedger ledger) {
    this.ledger = ledger;
  }

  /** Records that an answer to a node says that the runner leaves. */
  synchronized void sentLeaving(int node) {
    leavingSince.putIfAbsent(node, System.nanoTime());
  }

  /** Records that an answer asks a node for a backoff. */
  synchronized void sentBackoff(int node, long millis) {
    long now = System.nanoTime();
    long until = now + TimeUnit.MILLISECONDS.toNanos(millis);
    backoffs.putIfAbsent(node, new Backoff(now + BACKOFF_KNOWN_NANOS, until));
  }

  /** Checks a request of a node that has reached the runner. */
  synchronized void reached(int node, String wire) {
    long now = System.nanoTime();
    Long leaving = leavingSince.get(node);
    if (leaving != null && !Soak.wasRestarted(node, leaving)) {
      long millis = TimeUnit.NANOSECONDS.toMillis(now - leaving);
      if (millis > Soak.DRAIN_MILLIS) {
        ledger.violation("drain", wire + " came " + millis + " ms after the notice to its node");
      }
    }
    Backoff backoff = backoffs.get(node);
    if (backoff == null) {
      return;
    }
    if (now > backoff.until || Soak.wasRestarted(node, backoff.from - BACKOFF_KNOWN_NANOS)) {
      backoffs.remove(node);
    } else if (now > backoff.from && ++backoff.requests > MAX_DURING_BACKOFF) {
      ledger.violation("rest", wire + " is request " + backoff.requests + " during a backoff");
    }
  }
}
