/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.demo;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.io.PrintStream;
import java.net.URI;
import java.util.Locale;
import java.util.Objects;
import java.util.StringJoiner;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntUnaryOperator;

/**
 * Sends the demo's requests to nodes that run in other processes, and verifies every answer.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class RemoteLoad {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long MAX_WAIT_SECONDS = 90;
  private static final int PROGRESS_SECONDS = 5;

  private final ImmutableList<URI> nodes;
  private final IntUnaryOperator firstNode;
  private final PrintStream out;
  private final Tally tally = new Tally();

  /**
   * The outcomes of all requests and attempts.
   *
   * @param sent the number of requests sent
   * @param answered requests that got the correct answer, byte for byte
   * @param refused requests that were finally refused
   * @param wrong requests that got an incorrect answer
   * @param lost requests that got neither an answer nor a refusal
   * @param unreached attempts that could not open a connection
   * @param broken attempts whose connection failed before the complete answer
   * @param repeatableRefused refused attempts of requests that may run more than once
   * @param mayHaveRun attempts that were refused without the statement that they did not run
   * @param refusedAsNotRun the references of orders that were finally refused as not run
   * @param line all counts as key=value pairs
   * @since 0.1
   */
  public record Result(
      long sent,
      long answered,
      long refused,
      long wrong,
      long lost,
      long unreached,
      long broken,
      long repeatableRefused,
      long mayHaveRun,
      ImmutableSet<String> refusedAsNotRun,
      String line) {}

  /**
   * Creates a load generator.
   *
   * @param nodes the nodes' caller addresses, at least one
   * @param firstNode maps the number of a request to the index of the node that gets its first
   *     attempt
   * @param out the stream for progress lines
   */
  public RemoteLoad(ImmutableList<URI> nodes, IntUnaryOperator firstNode, PrintStream out) {
    this.nodes = Objects.requireNonNull(nodes, "nodes");
    this.firstNode = Objects.requireNonNull(firstNode, "firstNode");
    this.out = Objects.requireNonNull(out, "out");
  }

  /**
   * Sends requests and waits until all of them have ended.
   *
   * @param seed the seed that chooses the requests; each run against the same service needs a
   *     different one
   * @param rate the number of requests per second
   * @param seconds the time for which requests are sent
   * @return the outcomes
   * @throws InterruptedException if the thread is interrupted
   */
  public Result run(long seed, int rate, int seconds) throws InterruptedException {
    try (CallerClient client = new CallerClient();
        ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      send(new Caller(client, nodes, tally), callers, new Workload(seed), rate, seconds);
      callers.shutdown();
      if (!callers.awaitTermination(MAX_WAIT_SECONDS, TimeUnit.SECONDS)) {
        out.println("callers did not end within seconds=" + MAX_WAIT_SECONDS);
        callers.shutdownNow();
      }
    }
    return result(tally.snapshot());
  }

  private void send(
      Caller caller, ExecutorService callers, Workload workload, int rate, int seconds) {
    long start = System.nanoTime();
    long interval = SECOND / rate;
    for (int i = 0; i < rate * seconds; i++) {
      LockSupport.parkNanos(start + i * interval - System.nanoTime());
      if (i % (rate * PROGRESS_SECONDS) == 0) {
        out.println("progress second=" + i / rate + " " + result(tally.snapshot()).line);
      }
      DemoRequest request = workload.next();
      int node = firstNode.applyAsInt(i);
      callers.execute(() -> caller.run(request, node));
    }
  }

  private static Result result(Tally.Snapshot counts) {
    long mayHaveRun =
        counts.count(FailedAttempt.ORDER_MAY_HAVE_RUN)
            + counts.count(FailedAttempt.REPEATABLE_MAY_HAVE_RUN);
    return new Result(
        counts.sent(),
        counts.count(Outcome.ANSWERED),
        counts.count(Outcome.REFUSED),
        counts.count(Outcome.WRONG),
        counts.count(Outcome.LOST),
        counts.count(FailedAttempt.UNREACHED),
        counts.count(FailedAttempt.BROKEN),
        counts.count(FailedAttempt.REPEATABLE_NOT_RUN)
            + counts.count(FailedAttempt.REPEATABLE_MAY_HAVE_RUN),
        mayHaveRun,
        ImmutableSet.copyOf(counts.refusedAsNotRun()),
        line(counts));
  }

  private static String line(Tally.Snapshot counts) {
    StringJoiner line = new StringJoiner(" ");
    line.add("sent=" + counts.sent());
    line.add("ended=" + counts.ended());
    for (Outcome outcome : Outcome.values()) {
      line.add(outcome.name().toLowerCase(Locale.ROOT) + "=" + counts.count(outcome));
    }
    counts.refusals().forEach((kind, n) -> line.add("refused_" + kind + "=" + n));
    for (FailedAttempt failure : FailedAttempt.values()) {
      line.add("attempts_" + failure.name().toLowerCase(Locale.ROOT) + "=" + counts.count(failure));
    }
    return line.toString();
  }
}
