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
 * The controller's state of one engine. Confined to the controller's scheduler.
 *
 * <p>Invariant: while an order may still be executed, the engine counts as in progress, even after
 * the lease term under which the order was sent.
 */
final class EngineTracker {
  private static final FencingNumber NO_FENCING = new FencingNumber(0);

  private final Map<ModelVersion, Long> pulls = new HashMap<>();
  private Optional<EngineReport> report = Optional.empty();
  private long readSentAtNanos;
  private long reportsUsableFromNanos;
  private boolean reading;
  private boolean ordering;

  EngineTracker(long now) {
    readSentAtNanos = now;
    reportsUsableFromNanos = now;
  }

  /** Discards the engine's report. */
  void discardReport() {
    report = Optional.empty();
  }

  boolean needsRead(long now, long interval) {
    boolean isOutdated = report.isEmpty() || now - readSentAtNanos >= interval;
    return isOutdated && !reading && !inProgress(now);
  }

  long readSentAtNanos() {
    return readSentAtNanos;
  }

  void readStarted() {
    reading = true;
  }

  /**
   * Records the answer of a read. A report is discarded if the read was sent under another lease
   * term or before the outcome of the last order was settled.
   */
  void readEnded(Optional<EngineReport> answer, long sentAtNanos, boolean sameTerm) {
    reading = false;
    readSentAtNanos = sentAtNanos;
    boolean usable = sameTerm && !ordering && sentAtNanos - reportsUsableFromNanos >= 0;
    report = usable ? answer : Optional.empty();
  }

  void orderStarted() {
    ordering = true;
    discardReport();
  }

  /**
   * Records the result of an order. An order whose outcome is unknown may be executed until the
   * longest pause is over.
   */
  void orderEnded(OrderResult result, long now, long maxPauseEnd) {
    ordering = false;
    discardReport();
    reportsUsableFromNanos = result == OrderResult.UNKNOWN ? maxPauseEnd : now;
    if (result == OrderResult.REFUSED) {
      pulls.clear();
    }
  }

  boolean inProgress(long now) {
    return ordering || now - reportsUsableFromNanos < 0;
  }

  void pullStarted(ModelVersion model, long untilNanos) {
    pulls.put(model, untilNanos);
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
    Optional<EngineShape> reported = report.map(EngineReport::shape);
    return new EngineView(
        upstream.name(),
        upstream.fencing(),
        DeclaredShape.of(upstream, reported),
        reported,
        report.map(EngineReport::fencing).orElse(NO_FENCING),
        readSentAtNanos,
        report.isPresent(),
        inProgress(now) || pullsInProgress(now) > 0,
        pulled);
  }
}
