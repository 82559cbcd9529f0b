/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.larkkeel.peer.membership.SimCluster.Node;

/**
 * Measures the membership protocol in virtual time and prints one line for each cluster size and
 * message loss.
 *
 * <p>Arguments: cluster sizes, such as {@code 8 16 32 330}. Byte counts include IP and UDP headers
 * in both directions.
 */
public final class MembershipTrial {
  private static final long SECOND = SimCluster.SECOND;
  private static final double[] LOSSES = {0, 0.05, 0.2};
  private static final int SETTLE_SECONDS = 300;
  private static final int KILLS = 5;
  private static final int LOAD_RECORDS_PER_SECOND_AT_330 = 20;

  private MembershipTrial() {}

  /**
   * Runs the trials.
   *
   * @param args cluster sizes
   */
  public static void main(String[] args) {
    System.out.println(
        "nodes loss load/s idle_B/s B/s maxB/s cpu% KB/node first_s all_s false_deaths node_hours"
            + " coverage");
    for (String arg : args) {
      for (double loss : LOSSES) {
        measure(Integer.parseInt(arg), loss);
      }
    }
  }

  private static void measure(int size, double loss) {
    final long before = usedMemory();
    SimCluster cluster = new SimCluster(MembershipSettings.defaults(), size);
    cluster.start(size);
    cluster.runUntil(cluster::hasConverged, 300 * SECOND, "the nodes did not converge");
    cluster.run(SETTLE_SECONDS * SECOND);
    cluster.loss = loss;
    final long memory = Math.max(0, usedMemory() - before) / size / 1_024;
    long seconds = size > 100 ? 120 : 1_200;
    final long idle = bytesPerSecond(cluster, seconds / 2, 0).mean();
    int loads = Math.max(1, LOAD_RECORDS_PER_SECOND_AT_330 * size / 330);
    long cpu = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    final Rate rate = bytesPerSecond(cluster, seconds, loads);
    cpu = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - cpu;
    cluster.run(10 * SECOND);
    final double coverage = coverage(cluster);
    long falseDeaths = cluster.falseDeaths();
    double hours = 1.5 * seconds * size / 3_600.0;
    List<Long> first = new ArrayList<>();
    List<Long> all = new ArrayList<>();
    for (int i = 0; i < KILLS; i++) {
      kill(cluster, cluster.nodes.get(i), first, all);
    }
    System.out.printf(
        Locale.ROOT,
        "%d %.2f %d %d %d %d %.3f %d %.2f %.2f %d %.1f %.4f%n",
        size,
        loss,
        loads,
        idle,
        rate.mean(),
        rate.max(),
        100.0 * cpu / size / (seconds * SECOND),
        memory,
        median(first),
        median(all),
        falseDeaths,
        hours,
        coverage);
  }

  private record Rate(long mean, long max) {}

  private static Rate bytesPerSecond(SimCluster cluster, long seconds, int loads) {
    long[] start = cluster.nodes.stream().mapToLong(n -> n.bytesSent + n.bytesReceived).toArray();
    long version = cluster.now;
    for (int i = 0; i < seconds; i++) {
      for (int k = 0; k < loads; k++) {
        Node source = cluster.nodes.get((i * loads + k) % cluster.nodes.size());
        String key = "clause-readers-" + (i * loads + k) % 600;
        source.on(new Event.LoadChanged(cluster.now, new LoadRecord(key, version++, new byte[12])));
      }
      cluster.run(SECOND);
    }
    long sum = 0;
    long max = 0;
    for (int i = 0; i < start.length; i++) {
      Node node = cluster.nodes.get(i);
      long bytes = node.bytesSent + node.bytesReceived - start[i];
      sum += bytes;
      max = Math.max(max, bytes);
    }
    return new Rate(sum / start.length / seconds, max / seconds);
  }

  /**
   * Returns the fraction of (node, key) pairs where the node holds the newest record of the key.
   */
  private static double coverage(SimCluster cluster) {
    Map<String, Long> newest = new HashMap<>();
    for (Node node : cluster.nodes) {
      node.loads.forEach((key, load) -> newest.merge(key, load.version(), Math::max));
    }
    long known = 0;
    for (Node node : cluster.nodes) {
      for (LoadRecord load : node.loads.values()) {
        known += newest.get(load.key()) == load.version() ? 1 : 0;
      }
    }
    // The source of a record receives no effect for it, so it is not counted.
    return (double) known / newest.size() / (cluster.nodes.size() - 1);
  }

  private static void kill(SimCluster cluster, Node victim, List<Long> first, List<Long> all) {
    final long start = cluster.now;
    victim.killed = true;
    cluster.runUntil(
        () -> cluster.running().stream().allMatch(n -> n.stateOf(victim) == MemberState.DEAD),
        120 * SECOND,
        "not all nodes declared the killed node dead");
    all.add(cluster.now - start);
    long seen =
        cluster.running().stream()
            .flatMap(node -> node.changes.stream())
            .filter(change -> change.member().state() == MemberState.DEAD)
            .filter(change -> change.member().id().equals(victim.initialRecord.id()))
            .mapToLong(SimCluster.Change::at)
            .filter(at -> at >= start)
            .min()
            .orElseThrow();
    first.add(seen - start);
  }

  private static double median(List<Long> times) {
    Collections.sort(times);
    return (double) times.get(times.size() / 2) / SECOND;
  }

  private static long usedMemory() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
