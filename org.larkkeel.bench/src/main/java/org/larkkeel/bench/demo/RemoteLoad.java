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
 * Sends the demo's requests to nodes that run as other processes, and verifies every answer.
 *
 * <p>Used by one thread.
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
   * What became of the requests.
   *
   * @param sent requests sent
   * @param answered those answered byte for byte
   * @param refused those refused in the end
   * @param wrong those with another answer than the right one
   * @param lost those with neither an answer nor a refusal
   * @param unreached attempts that got no connection
   * @param broken attempts whose connection failed before the whole answer
   * @param repeatableRefused attempts refused of requests that may be repeated
   * @param mayHaveRun attempts refused without the word that they did not run
   * @param toldNotRun the references of orders refused in the end as not run
   * @param line key=value pairs of all counts
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
      ImmutableSet<String> toldNotRun,
      String line) {}

  /**
   * Creates a load.
   *
   * @param nodes the nodes' caller addresses, at least one
   * @param firstNode the index of the node that a request is sent to first, by its number
   * @param out where progress is printed
   */
  public RemoteLoad(ImmutableList<URI> nodes, IntUnaryOperator firstNode, PrintStream out) {
    this.nodes = Objects.requireNonNull(nodes, "nodes");
    this.firstNode = Objects.requireNonNull(firstNode, "firstNode");
    this.out = Objects.requireNonNull(out, "out");
  }

  /**
   * Sends requests and waits for their ends.
   *
   * @param seed chooses the requests; each run against the same service needs another one
   * @param rate requests a second
   * @param seconds how long requests are sent
   * @return what became of them
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

  private static Result result(Tally.Snapshot seen) {
    long mayHaveRun =
        seen.count(FailedAttempt.ORDER_MAY_HAVE_RUN)
            + seen.count(FailedAttempt.REPEATABLE_MAY_HAVE_RUN);
    return new Result(
        seen.sent(),
        seen.count(Outcome.ANSWERED),
        seen.count(Outcome.REFUSED),
        seen.count(Outcome.WRONG),
        seen.count(Outcome.LOST),
        seen.count(FailedAttempt.UNREACHED),
        seen.count(FailedAttempt.BROKEN),
        seen.count(FailedAttempt.REPEATABLE_NOT_RUN)
            + seen.count(FailedAttempt.REPEATABLE_MAY_HAVE_RUN),
        mayHaveRun,
        ImmutableSet.copyOf(seen.toldNotRun()),
        line(seen));
  }

  private static String line(Tally.Snapshot seen) {
    StringJoiner line = new StringJoiner(" ");
    line.add("sent=" + seen.sent());
    line.add("ended=" + seen.ended());
    for (Outcome outcome : Outcome.values()) {
      line.add(outcome.name().toLowerCase(Locale.ROOT) + "=" + seen.count(outcome));
    }
    seen.refusals().forEach((kind, n) -> line.add("refused_" + kind + "=" + n));
    for (FailedAttempt failure : FailedAttempt.values()) {
      line.add("attempts_" + failure.name().toLowerCase(Locale.ROOT) + "=" + seen.count(failure));
    }
    return line.toString();
  }
}
