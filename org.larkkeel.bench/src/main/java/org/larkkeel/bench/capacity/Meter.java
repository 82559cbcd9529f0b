/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.capacity;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/**
 * Reads the heap in use and the processor time of the calling thread.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class Meter {
  private static final int COLLECTIONS = 3;

  private Meter() {}

  /** Bytes in use after the garbage is gone. */
  static long heapBytes() {
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  /** Nanoseconds that all threads of this process have run. */
  static long processNanos() {
    return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
        .getProcessCpuTime();
  }

  /** Nanoseconds that this thread has run. */
  static long threadNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }
}
