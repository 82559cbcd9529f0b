/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Measures idle nodes: the processor time and heap of the process, and the calls to the platform,
 * by the number of nodes and of engines. The stand-ins run in the same process, so their cost is
 * part of the base of the line and, for their answers to polls, of its slope.
 *
 * <p>Not safe for use by several threads: it reads the processor time and heap of the whole
 * process.
 */
final class NodeSlopes {
  private static final int[] NODES = {2, 4, 8, 16};
  private static final int[] ENGINES = {4, 16, 32};
  private static final int FIXED_ENGINES = 4;
  private static final int FIXED_NODES = 4;
  private static final long SETTLE_SECONDS = 5;
  private static final long MEASURE_SECONDS = 10;
  private static final double PERCENT = 100;

  private final List<Sample> samples = new ArrayList<>();

  List<Sample> measure() throws Exception {
    for (int nodes : NODES) {
      measure("nodes", nodes, nodes, FIXED_ENGINES);
    }
    for (int engines : ENGINES) {
      measure("engines", engines, FIXED_NODES, engines);
    }
    return samples;
  }

  private void measure(String by, int size, int nodes, int engines) throws Exception {
    long before = Meter.heapBytes();
    try (IdleCluster cluster = new IdleCluster(nodes, engines)) {
      TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
      final long calls = cluster.storeCalls();
      final long processor = Meter.processNanos();
      final long start = System.nanoTime();
      TimeUnit.SECONDS.sleep(MEASURE_SECONDS);
      double elapsed = System.nanoTime() - start;
      double seconds = elapsed / TimeUnit.SECONDS.toNanos(1);
      double share = PERCENT * (Meter.processNanos() - processor) / elapsed;
      samples.add(new Sample("idle.processor", by, size, share, "%_of_a_core"));
      double rate = (cluster.storeCalls() - calls) / seconds;
      samples.add(new Sample("idle.store_calls", by, size, rate, "1/s"));
      samples.add(new Sample("idle.heap", by, size, Meter.heapBytes() - before, "B"));
    }
  }
}
