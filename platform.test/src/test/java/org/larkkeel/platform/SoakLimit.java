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
 * The limit that a runner of the soak names in its answers, and whether nodes keep to it: in 4 s no
 * more than one and a half times what it allows and five requests, from 3 s on, of the nodes that
 * were told half a second before. Nodes that were harmed meanwhile do not count.
 *
 * <p>Safe for use by several threads.
 */
final class SoakLimit {
  private static final long WINDOW = TimeUnit.SECONDS.toNanos(4);
  private static final long BINDS_AFTER = TimeUnit.SECONDS.toNanos(3);
  private static final long KNOWN_AFTER = TimeUnit.MILLISECONDS.toNanos(500);

  private final SoakLedger ledger;
  private final Map<Integer, Long> toldAt = new HashMap<>();
  private final Deque<Long> arrivals = new ArrayDeque<>();
  private Optional<Double> perSecond = Optional.empty();
  private long since;

  SoakLimit(SoakLedger ledger) {
    this.ledger = ledger;
  }

  synchronized void name(double limit) {
    perSecond = Optional.of(limit);
    since = System.nanoTime();
    toldAt.clear();
    arrivals.clear();
  }

  synchronized void lift() {
    perSecond = Optional.empty();
  }

  /** The header of an answer to a node; empty without a limit. */
  synchronized String header(int node) {
    perSecond.ifPresent(l -> toldAt.putIfAbsent(node, System.nanoTime()));
    return perSecond.map(l -> "Server-Limit: " + l + "\r\n").orElse("");
  }

  /** A request has come from a node. */
  synchronized void reached(int node, String wire) {
    long now = System.nanoTime();
    Long told = toldAt.get(node);
    boolean binds = perSecond.isPresent() && now - since >= BINDS_AFTER;
    if (!binds || told == null || now - told < KNOWN_AFTER) {
      return;
    }
    if (Soak.isHarmedNode(node)) {
      toldAt.remove(node);
      return;
    }
    arrivals.add(now);
    while (arrivals.peek() < now - WINDOW) {
      arrivals.remove();
    }
    double allowed = 1.5 * 4 * perSecond.get() + 5;
    if (arrivals.size() > allowed) {
      ledger.broken(
          "limit", wire + " is one of " + arrivals.size() + " in 4 s at " + perSecond.get());
    }
  }
}
