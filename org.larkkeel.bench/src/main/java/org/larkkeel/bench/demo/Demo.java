/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.demo;

import com.google.common.collect.ImmutableList;
import java.io.PrintStream;
import java.net.URI;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.larkkeel.standin.EngineStandin;

/**
 * One run of the demo: starts the cluster, sends the load, injects the faults and prints the
 * verdict. Not safe for use by several threads.
 */
final class Demo {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long MAX_WAIT_SECONDS = 180;
  private static final int ENGINE_DOWN_SECONDS = 3;

  private final DemoOptions options;
  private final PrintStream out;
  private final Tally tally = new Tally();

  Demo(DemoOptions options, PrintStream out) {
    this.options = options;
    this.out = out;
  }

  /** Runs the demo. Returns whether the {@linkplain Verdict#passed verdict} is passed. */
  boolean run() throws Exception {
    long clusterStart = System.nanoTime();
    out.println(
        "starting nodes="
            + options.nodes()
            + " seconds="
            + options.seconds()
            + " rate="
            + options.rate());
    try (DemoCluster cluster = DemoCluster.start(options.nodes(), options.slots());
        CallerClient client = new CallerClient()) {
      out.println(
          "started millis=" + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - clusterStart));
      ImmutableList<URI> addresses = cluster.callerAddresses();
      Caller caller = new Caller(client, addresses, tally);
      long start = System.nanoTime();
      try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
        sendRequests(cluster, caller, callers, start);
        await(callers);
      }
      double seconds = (System.nanoTime() - start) / (double) SECOND;
      Verdict verdict = Verdict.of(tally.snapshot(), cluster, cluster.awaitFreeSlots(), seconds);
      out.println(verdict.line());
      return verdict.passed();
    }
  }

  private void sendRequests(DemoCluster cluster, Caller caller, ExecutorService callers, long start)
      throws Exception {
    Workload workload = new Workload(options.seed());
    long interval = SECOND / options.rate();
    int total = options.rate() * options.seconds();
    int lastSecond = -1;
    for (int i = 0; i < total; i++) {
      long due = start + i * interval;
      LockSupport.parkNanos(due - System.nanoTime());
      int second = i / options.rate();
      if (second != lastSecond) {
        lastSecond = second;
        printProgress(second);
        injectFaults(cluster, second);
      }
      DemoRequest request = workload.next();
      int node = i % options.nodes();
      callers.execute(() -> caller.run(request, node));
    }
  }

  private void injectFaults(DemoCluster cluster, int second) throws Exception {
    if (options.killNodeAt().filter(at -> at == second).isPresent()) {
      out.println("fault second=" + second + " killed=node");
      cluster.killNode(0);
    }
    if (options.killEngineAt().filter(at -> at == second).isPresent()) {
      out.println("fault second=" + second + " killed=engines");
      faultTargets(cluster).forEach(EngineStandin::kill);
    }
    if (options.killEngineAt().filter(at -> at + ENGINE_DOWN_SECONDS == second).isPresent()) {
      out.println("fault second=" + second + " restarted=engines");
      faultTargets(cluster).forEach(EngineStandin::restart);
    }
    if (options.storeOutage().filter(o -> o.from() == second).isPresent()) {
      out.println("fault second=" + second + " store=down");
      cluster.platform().outage(true);
    }
    if (options.storeOutage().filter(o -> o.to() == second).isPresent()) {
      out.println("fault second=" + second + " store=up");
      cluster.platform().outage(false);
    }
  }

  private static ImmutableList<EngineStandin> faultTargets(DemoCluster cluster) {
    return ImmutableList.of(
        cluster.engines().get("prefill-old-1"), cluster.engines().get("decode-new-1"));
  }

  private void printProgress(int second) {
    Tally.Snapshot counts = tally.snapshot();
    out.println(
        "progress second="
            + second
            + " sent="
            + counts.sent()
            + " answered="
            + counts.count(Outcome.ANSWERED)
            + " refused="
            + counts.count(Outcome.REFUSED)
            + " retried="
            + counts.retried());
  }

  private void await(ExecutorService callers) throws InterruptedException {
    callers.shutdown();
    if (!callers.awaitTermination(MAX_WAIT_SECONDS, TimeUnit.SECONDS)) {
      out.println("callers did not end within seconds=" + MAX_WAIT_SECONDS);
      callers.shutdownNow();
    }
  }
}
