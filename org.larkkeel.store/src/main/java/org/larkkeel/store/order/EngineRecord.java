/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.order;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.larkkeel.config.Upstream;
import org.larkkeel.lib.FencingNumber;

/**
 * What the controller remembers of one engine. Confined to the controller's scheduler.
 *
 * <p>Invariant: an order that may still be carried out keeps the engine in progress, also beyond
 * the tenure under which it was sent.
 */
final class EngineRecord {
  private static final FencingNumber NO_FENCING = new FencingNumber(0);

  private final Map<ModelVersion, Long> pulls = new HashMap<>();
  private Optional<EngineReport> report = Optional.empty();
  private long readSentAt;
  private long usableFrom;
  private boolean reading;
  private boolean ordering;

  EngineRecord(long now) {
    readSentAt = now;
    usableFrom = now;
  }

  /** Forgets what the engine said. */
  void forget() {
    report = Optional.empty();
  }

  boolean wantsRead(long now, long interval) {
    boolean old = report.isEmpty() || now - readSentAt >= interval;
    return old && !reading && !inProgress(now);
  }

  long readSentAt() {
    return readSentAt;
  }

  void readBegins() {
    reading = true;
  }

  /** Takes an answer; one that was asked for before the last order was settled says nothing. */
  void readEnded(Optional<EngineReport> answer, long sentAt, boolean sameTenure) {
    reading = false;
    readSentAt = sentAt;
    boolean usable = sameTenure && !ordering && sentAt - usableFrom >= 0;
    report = usable ? answer : Optional.empty();
  }

  void orderBegins() {
    ordering = true;
    forget();
  }

  /** An order whose outcome is unknown may be carried out until the longest pause is over. */
  void orderEnded(OrderResult result, long now, long longestPauseEnd) {
    ordering = false;
    forget();
    usableFrom = result == OrderResult.UNKNOWN ? longestPauseEnd : now;
    if (result == OrderResult.REFUSED) {
      pulls.clear();
    }
  }

  boolean inProgress(long now) {
    return ordering || now - usableFrom < 0;
  }

  void pullBegins(ModelVersion model, long until) {
    pulls.put(model, until);
  }

  void pullFailed(ModelVersion model) {
    pulls.remove(model);
  }

  long pullsInProgress(long now) {
    return pulls.values().stream().filter(end -> now - end < 0).count();
  }

  EngineView view(Upstream upstream, long now) {
    ImmutableSet<ModelVersion> pulled =
        pulls.entrySet().stream()
            .filter(e -> now - e.getValue() >= 0)
            .map(Map.Entry::getKey)
            .collect(ImmutableSet.toImmutableSet());
    Optional<EngineShape> is = report.map(EngineReport::shape);
    return new EngineView(
        upstream.name(),
        upstream.fencing(),
        DeclaredShape.of(upstream, is),
        is,
        report.map(EngineReport::fencing).orElse(NO_FENCING),
        readSentAt,
        report.isPresent(),
        inProgress(now) || pullsInProgress(now) > 0,
        pulled);
  }
}
