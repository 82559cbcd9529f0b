/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.demo;

import java.time.Duration;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts the outcomes and times that callers observe. Safe for use by several threads. */
final class Tally {
  private static final Logger log = LoggerFactory.getLogger(Tally.class);
  private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(10);
  private static final int DIGITS = 3;
  private static final int MAX_DETAIL_LENGTH = 200;
  private static final long FIRST_TOKEN_TARGET_NANOS = Duration.ofSeconds(4).toNanos();
  private static final long TOKEN_GAP_TARGET_NANOS = Duration.ofMillis(100).toNanos();

  private final Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);
  private final Map<String, Long> refusals = new TreeMap<>();
  private final Map<FailedAttempt, Long> failures = new EnumMap<>(FailedAttempt.class);
  private final Set<String> refusedAsNotRun = new HashSet<>();
  private final Histogram firstToken = new Histogram(MAX_MICROS, DIGITS);
  private final Histogram tokenGap = new Histogram(MAX_MICROS, DIGITS);
  private final Histogram plain = new Histogram(MAX_MICROS, DIGITS);
  private long sent;
  private long retried;
  private long withinTargets;

  /** A consistent view of the counts. */
  record Snapshot(
      long sent,
      long retried,
      long withinTargets,
      Map<Outcome, Long> outcomes,
      Map<String, Long> refusals,
      Map<FailedAttempt, Long> failures,
      Set<String> refusedAsNotRun,
      Histogram firstToken,
      Histogram tokenGap,
      Histogram plain) {
    long count(Outcome outcome) {
      return outcomes.getOrDefault(outcome, 0L);
    }

    long count(FailedAttempt failure) {
      return failures.getOrDefault(failure, 0L);
    }

    long ended() {
      return outcomes.values().stream().mapToLong(Long::longValue).sum();
    }
  }

  synchronized void sent() {
    sent++;
  }

  synchronized void retried() {
    retried++;
  }

  /** Records a failed attempt of a request. */
  synchronized void failed(FailedAttempt failure) {
    failures.merge(failure, 1L, Long::sum);
  }

  /** Records an order that was finally refused as not run. */
  synchronized void refusedAsNotRun(String reference) {
    refusedAsNotRun.add(reference);
  }

  synchronized void ended(DemoRequest request, Outcome outcome, String detail) {
    outcomes.merge(outcome, 1L, Long::sum);
    if (outcome == Outcome.REFUSED) {
      refusals.merge(detail, 1L, Long::sum);
    } else if (outcome != Outcome.ANSWERED) {
      log.error(
          "event=request_failed outcome={} type={} detail=\"{}\"",
          outcome,
          request.getClass().getSimpleName(),
          detail.substring(0, Math.min(detail.length(), MAX_DETAIL_LENGTH)));
    }
  }

  /**
   * Records the times of an answer. The time of earlier attempts is part of the time to the first
   * token.
   */
  synchronized void recordTimes(
      DemoRequest request, AttemptResult.Answer answer, long nanosBefore) {
    long firstNanos = nanosBefore + answer.firstNanos();
    if (!(request instanceof DemoRequest.Dossier)) {
      record(plain, firstNanos);
      withinTargets += firstNanos <= FIRST_TOKEN_TARGET_NANOS ? 1 : 0;
      return;
    }
    record(firstToken, firstNanos);
    long gap = 0;
    if (answer.tokens() > 1) {
      gap = (answer.lastNanos() - answer.firstNanos()) / (answer.tokens() - 1);
      record(tokenGap, gap);
    }
    withinTargets +=
        firstNanos <= FIRST_TOKEN_TARGET_NANOS && gap <= TOKEN_GAP_TARGET_NANOS ? 1 : 0;
  }

  private static void record(Histogram histogram, long nanos) {
    histogram.recordValue(Math.min(MAX_MICROS, TimeUnit.NANOSECONDS.toMicros(nanos)));
  }

  synchronized Snapshot snapshot() {
    return new Snapshot(
        sent,
        retried,
        withinTargets,
        Collections.unmodifiableMap(new EnumMap<>(outcomes)),
        Collections.unmodifiableMap(new TreeMap<>(refusals)),
        Collections.unmodifiableMap(new EnumMap<>(failures)),
        Set.copyOf(refusedAsNotRun),
        firstToken.copy(),
        tokenGap.copy(),
        plain.copy());
  }
}
