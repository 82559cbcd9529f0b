/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.capacity;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/**
 * Reads the heap in use, and the processor time of the process and of the calling thread.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class Meter {
  private static final int COLLECTION_RUNS = 3;

  private Meter() {}

  /** Returns the bytes of heap in use after garbage collection. */
  static long heapBytes() {
    for (int i = 0; i < COLLECTION_RUNS; i++) {
      System.gc();
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  /** Returns the processor time of all threads of this process, in nanoseconds. */
  static long processNanos() {
    return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
        .getProcessCpuTime();
  }

  /** Returns the processor time of the calling thread, in nanoseconds. */
  static long threadNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }
}
