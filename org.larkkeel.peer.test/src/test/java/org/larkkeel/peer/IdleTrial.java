/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.larkkeel.peer.membership.MembershipSettings;

/**
 * Measures processor time, memory and traffic of idle nodes with real sockets and default periods,
 * all in one process.
 *
 * <p>Arguments: cluster sizes, such as {@code 8 16 32}.
 */
public final class IdleTrial {
  private static final int SECONDS = 20;

  private IdleTrial() {}

  /**
   * Runs the trials.
   *
   * @param args cluster sizes
   * @throws Exception if a node can not start
   */
  public static void main(String[] args) throws Exception {
    System.out.println("nodes cpu%/node KB/node threads/node sent_B/s received_B/s");
    for (String arg : args) {
      measure(Integer.parseInt(arg));
    }
  }

  private static void measure(int size) throws Exception {
    final long memory = usedMemory();
    final int threads = ManagementFactory.getThreadMXBean().getThreadCount();
    List<PeerNode> nodes =
        TestNodes.startAll(size, new PeerListener() {}, MembershipSettings.defaults());
    TimeUnit.SECONDS.sleep(SECONDS);
    final long used = Math.max(0, usedMemory() - memory);
    OperatingSystemMXBean system =
        (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    final long cpuBefore = system.getProcessCpuTime();
    final long sentBefore = nodes.stream().mapToLong(node -> node.datagrams().bytesSent()).sum();
    final long receivedBefore =
        nodes.stream().mapToLong(node -> node.datagrams().bytesReceived()).sum();
    TimeUnit.SECONDS.sleep(SECONDS);
    final long cpu = system.getProcessCpuTime() - cpuBefore;
    final long sent =
        nodes.stream().mapToLong(node -> node.datagrams().bytesSent()).sum() - sentBefore;
    final long received =
        nodes.stream().mapToLong(node -> node.datagrams().bytesReceived()).sum() - receivedBefore;
    System.out.printf(
        Locale.ROOT,
        "%d %.3f %d %.1f %d %d%n",
        size,
        100.0 * cpu / size / TimeUnit.SECONDS.toNanos(SECONDS),
        used / size / 1_024,
        (double) (ManagementFactory.getThreadMXBean().getThreadCount() - threads) / size,
        sent / size / SECONDS,
        received / size / SECONDS);
    nodes.forEach(PeerNode::close);
  }

  private static long usedMemory() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
