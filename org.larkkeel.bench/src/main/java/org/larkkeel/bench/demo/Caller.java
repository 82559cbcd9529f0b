/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.demo;

import com.google.common.collect.ImmutableList;
import java.net.URI;
import java.time.Duration;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.standin.AnswerOracle;
import org.larkkeel.standin.ServiceOracle;

/**
 * A caller that retries its request until it is answered or finally refused.
 *
 * <p>It retries at another node after a broken connection or a refusal that allows a retry. A call
 * that must run at most once keeps its idempotency key. Safe for use by several threads; calls
 * block.
 */
final class Caller {
  private static final int MAX_ATTEMPTS = 12;
  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(50);
  private static final Duration MAX_BACKOFF = Duration.ofSeconds(1);
  private static final int EXPECTED_RUN = 1;

  private final CallerClient client;
  private final ImmutableList<URI> nodes;
  private final Tally tally;

  Caller(CallerClient client, ImmutableList<URI> nodes, Tally tally) {
    this.client = client;
    this.nodes = nodes;
    this.tally = tally;
  }

  /** Sends a request and its retries until it ends. */
  void run(DemoRequest request, int firstNode) {
    tally.sent();
    try {
      sendUntilEnd(request, firstNode);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      tally.ended(request, Outcome.LOST, "interrupted");
    }
  }

  private void sendUntilEnd(DemoRequest request, int firstNode) throws InterruptedException {
    long arrived = System.nanoTime();
    AttemptResult last = null;
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
      if (i > 0) {
        tally.retried();
        Thread.sleep(backoff(i));
      }
      long nanosBefore = System.nanoTime() - arrived;
      last = client.send(nodes.get((firstNode + i) % nodes.size()), request);
      if (last instanceof AttemptResult.Answer answer) {
        answered(request, answer, nanosBefore);
        return;
      }
      tally.failed(failure(request, last));
      if (last instanceof AttemptResult.Refused refused && !refused.repeatable()) {
        break;
      }
    }
    switch (last) {
      case AttemptResult.Refused r -> refused(request, r);
      case AttemptResult.Broken b -> tally.ended(request, Outcome.LOST, b.cause());
      case null, default -> throw new IllegalStateException("no attempt was made");
    }
  }

  private static FailedAttempt failure(DemoRequest request, AttemptResult result) {
    return switch (result) {
      case AttemptResult.Broken b when b.reached() -> FailedAttempt.BROKEN;
      case AttemptResult.Broken b -> FailedAttempt.UNREACHED;
      case AttemptResult.Refused r when request instanceof DemoRequest.Order ->
          r.notRun() ? FailedAttempt.ORDER_NOT_RUN : FailedAttempt.ORDER_MAY_HAVE_RUN;
      case AttemptResult.Refused r ->
          r.notRun() ? FailedAttempt.REPEATABLE_NOT_RUN : FailedAttempt.REPEATABLE_MAY_HAVE_RUN;
      case AttemptResult.Answer a ->
          throw new IllegalArgumentException("an answer is not a failed attempt");
    };
  }

  private static Duration backoff(int attempt) {
    Duration grown = INITIAL_BACKOFF.multipliedBy(1L << Math.min(attempt, 5));
    return grown.compareTo(MAX_BACKOFF) < 0 ? grown : MAX_BACKOFF;
  }

  private void answered(DemoRequest request, AttemptResult.Answer answer, long nanosBefore) {
    if (answer.body().equals(expected(request))) {
      tally.recordTimes(request, answer, nanosBefore);
      tally.ended(request, Outcome.ANSWERED, "");
    } else {
      tally.ended(request, Outcome.WRONG, answer.body());
    }
  }

  private void refused(DemoRequest request, AttemptResult.Refused refused) {
    boolean internal = refused.kind().equals(ErrorKind.INTERNAL.slug());
    if (request instanceof DemoRequest.Order order && refused.notRun()) {
      tally.refusedAsNotRun(order.reference());
    }
    tally.ended(request, internal ? Outcome.LOST : Outcome.REFUSED, refused.kind());
  }

  private static String expected(DemoRequest request) {
    return switch (request) {
      case DemoRequest.Dossier d ->
          AnswerOracle.completeText(DemoCluster.MODEL, d.prompt(), d.maxTokens());
      case DemoRequest.Lookup l -> ServiceOracle.lookup(l.path());
      case DemoRequest.Order o -> ServiceOracle.change(o.path(), o.reference(), EXPECTED_RUN);
    };
  }
}
