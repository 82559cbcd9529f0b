/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import java.util.HashMap;
import java.util.Map;
import org.larkkeel.event.FailureCause;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.relay.ProbeResult;
import org.larkkeel.relay.RefusalCause;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.UpstreamPath;

/** The paths of a simulated node to the upstreams, which can be cut. */
final class SimPaths {
  private static final long ROUND_TRIP_MILLIS = 2;
  private static final long CONNECT_TIMEOUT_MILLIS = 600;
  private static final long PROBE_TIMEOUT_MILLIS = 500;

  /** The number of idle connections to an upstream that a node has at the begin of a cut. */
  private static final int IDLE_CONNECTIONS = 3;

  /** What becomes of connections while a path is cut. */
  enum Cut {
    /** Packets are dropped: connections hang. */
    DROPS,

    /** Open connections are reset and new ones refused. */
    RESETS,

    /** Open connections work; new ones are refused. */
    REFUSES_NEW
  }

  private final SimCluster cluster;
  private final SimCluster.Node node;
  private final Map<UpstreamName, Integer> idle = new HashMap<>();
  private Cut cut = Cut.DROPS;
  private long lostUntilNanos;

  SimPaths(SimCluster cluster, SimCluster.Node node) {
    this.cluster = cluster;
    this.node = node;
  }

  void lose(Cut kind, long millis) {
    cut = kind;
    lostUntilNanos = cluster.nowNanos() + millis * SimCluster.NANOS_PER_MILLI;
    idle.clear();
    if (kind == Cut.RESETS) {
      node.closeConnections();
    }
  }

  boolean isLost() {
    return cluster.nowNanos() < lostUntilNanos;
  }

  /** Handles an attempt if the path is cut; returns whether it did. */
  boolean send(RelayEffect.Send send) {
    if (send.path() == UpstreamPath.TUNNEL && !canTunnel()) {
      refuse(send, RefusalCause.CONNECT_TIMED_OUT, ROUND_TRIP_MILLIS);
      return true;
    }
    if (send.path() == UpstreamPath.TUNNEL || !isLost()) {
      return false;
    }
    boolean isPooled = idle.merge(send.upstream().name(), 1, Integer::sum) <= IDLE_CONNECTIONS;
    if (isPooled && cut == Cut.RESETS) {
      cluster.after(
          ROUND_TRIP_MILLIS,
          () ->
              node.submit(
                  new RelayEvent.Lost(
                      cluster.nowNanos(), send.attempt(), FailureCause.CONNECTION_LOST)));
      return true;
    }
    if (isPooled) {
      // On a silent connection, the request is written and nothing follows.
      return cut == Cut.DROPS;
    }
    boolean hangs = cut == Cut.DROPS;
    RefusalCause cause = hangs ? RefusalCause.CONNECT_TIMED_OUT : RefusalCause.CONNECT_REFUSED;
    refuse(send, cause, hangs ? CONNECT_TIMEOUT_MILLIS : ROUND_TRIP_MILLIS);
    return true;
  }

  private void refuse(RelayEffect.Send send, RefusalCause cause, long afterMillis) {
    cluster.after(
        afterMillis,
        () -> node.submit(new RelayEvent.Refused(cluster.nowNanos(), send.attempt(), cause)));
  }

  /** Handles a probe if its path is cut; returns whether it did. */
  boolean probe(RelayEffect.Probe probe) {
    if (probe.path() == UpstreamPath.TUNNEL && !canTunnel()) {
      cluster.after(ROUND_TRIP_MILLIS, () -> node.probed(probe, ProbeResult.SILENT));
      return true;
    }
    if (probe.path() == UpstreamPath.TUNNEL || !isLost()) {
      return false;
    }
    boolean hangs = cut == Cut.DROPS;
    ProbeResult result = hangs ? ProbeResult.SILENT : ProbeResult.REFUSES;
    cluster.after(
        hangs ? PROBE_TIMEOUT_MILLIS : ROUND_TRIP_MILLIS, () -> node.probed(probe, result));
    return true;
  }

  /** Returns whether another node reaches the upstreams. */
  private boolean canTunnel() {
    return cluster.nodes.stream().anyMatch(n -> n != node && n.up && !n.paths.isLost());
  }
}
