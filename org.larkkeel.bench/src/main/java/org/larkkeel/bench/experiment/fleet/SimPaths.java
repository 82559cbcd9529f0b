/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.relay.UpstreamPath;

/**
 * The direct connections of a simulated node to the upstreams, which a fault can cut.
 *
 * <p>Not thread-safe.
 */
final class SimPaths {
  /** The idle connections to an upstream that a node has when a fault begins. */
  private static final int IDLE_CONNECTIONS = 2;

  private final Map<UpstreamName, Integer> sends = new HashMap<>();
  private NodeFaultKind fault = NodeFaultKind.PATHS_REFUSED;
  private long healedAt;

  /** What becomes of an attempt or a probe. */
  enum Outcome {
    /** It reaches the upstream. */
    ARRIVES,
    /** It is written to a connection that hangs. */
    VANISHES,
    /** Its connection is reset. */
    IS_RESET,
    /** Its connection is refused. */
    IS_REFUSED,
    /** Its connection does not open. */
    TIMES_OUT
  }

  /** Cuts the paths until a time. */
  void lose(NodeFaultKind kind, long until) {
    fault = kind;
    healedAt = until;
    sends.clear();
  }

  boolean isLost(long now) {
    return now < healedAt;
  }

  /** Returns when bytes that are on their way now arrive; empty if nothing delays them. */
  Optional<Long> delayedUntil(long now) {
    return isLost(now) && fault == NodeFaultKind.PATHS_DROPPED
        ? Optional.of(healedAt)
        : Optional.empty();
  }

  /** Returns what becomes of an attempt that is sent now. */
  Outcome send(long now, UpstreamName upstream, UpstreamPath path) {
    if (path == UpstreamPath.TUNNEL || !isLost(now)) {
      return Outcome.ARRIVES;
    }
    if (sends.merge(upstream, 1, Integer::sum) > IDLE_CONNECTIONS) {
      return connect(now);
    }
    return switch (fault) {
      case PATHS_DROPPED -> Outcome.VANISHES;
      case PATHS_RESET -> Outcome.IS_RESET;
      default -> Outcome.ARRIVES;
    };
  }

  /** Returns what becomes of a new connection. */
  Outcome connect(long now) {
    if (!isLost(now)) {
      return Outcome.ARRIVES;
    }
    return fault == NodeFaultKind.PATHS_DROPPED ? Outcome.TIMES_OUT : Outcome.IS_REFUSED;
  }
}
