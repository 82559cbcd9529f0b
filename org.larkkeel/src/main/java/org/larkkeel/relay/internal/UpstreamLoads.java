/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.UpstreamIncarnation;

/**
 * The loads at upstreams: those of this node, which it reports to the others, and those that other
 * nodes report.
 *
 * <p>Invariant: the remote load of a current incarnation is the sum of what the last reports of the
 * responsive nodes name for it. Not thread-safe.
 */
final class UpstreamLoads {
  /** The time without a message after which the reports of another node no longer count. */
  static final long INACTIVITY_NANOS = 1_500_000_000L;

  /** The upstreams at which this node has load. */
  private final Set<UpstreamState> loaded = new LinkedHashSet<>();

  private ImmutableMap<UpstreamIncarnation, Long> loads = ImmutableMap.of();
  private boolean loadsChanged;
  private final Map<HostName, PeerLoad> peerLoads = new HashMap<>();
  private final Function<UpstreamIncarnation, Optional<UpstreamState>> find;

  /** The last load report of another node. */
  private record PeerLoad(long at, ImmutableMap<UpstreamIncarnation, Long> loads) {}

  /**
   * Creates empty loads.
   *
   * @param find returns the state of an incarnation; empty if the incarnation is not the current
   *     one
   */
  UpstreamLoads(Function<UpstreamIncarnation, Optional<UpstreamState>> find) {
    this.find = find;
  }

  /** Returns the number of other nodes whose load is known. */
  int reportingNodes() {
    return peerLoads.size();
  }

  /** Adds the load that other nodes already reported for an incarnation that is now listed. */
  void added(UpstreamState state) {
    peerLoads
        .values()
        .forEach(h -> state.addRemote(h.loads().getOrDefault(state.incarnation(), 0L)));
  }

  /** Removes an ended incarnation from the loads of this node. */
  void ended(UpstreamState state) {
    loadsChanged |= loaded.remove(state);
  }

  /** Replaces the load report of another node. */
  void receive(long at, HostName node, ImmutableMap<UpstreamIncarnation, Long> loads) {
    addRemoteLoads(peerLoads.put(node, new PeerLoad(at, loads)), -1);
    addRemoteLoads(peerLoads.get(node), 1);
  }

  /** Drops the load reports of nodes that have been unresponsive for {@link #INACTIVITY_NANOS}. */
  void dropUnresponsive(long at) {
    for (Iterator<PeerLoad> i = peerLoads.values().iterator(); i.hasNext(); ) {
      PeerLoad h = i.next();
      if (at - h.at() > INACTIVITY_NANOS) {
        i.remove();
        addRemoteLoads(h, -1);
      }
    }
  }

  private void addRemoteLoads(PeerLoad report, int sign) {
    if (report == null) {
      return;
    }
    report
        .loads()
        .forEach(
            (incarnation, units) ->
                find.apply(incarnation).ifPresent(s -> s.addRemote(sign * units)));
  }

  /**
   * Returns the load that this node has at each upstream, without upstreams at which it has none.
   */
  ImmutableMap<UpstreamIncarnation, Long> own() {
    if (!loadsChanged) {
      return loads;
    }
    ImmutableMap.Builder<UpstreamIncarnation, Long> now = ImmutableMap.builder();
    loaded.forEach(s -> now.put(s.incarnation(), s.load()));
    loads = now.buildOrThrow();
    loadsChanged = false;
    return loads;
  }

  /** Handles a change of the load that this node has at an upstream. */
  void changed(UpstreamState s) {
    if (find.apply(s.incarnation()).orElse(null) != s) {
      return;
    }
    loadsChanged = true;
    if (s.load() > 0) {
      loaded.add(s);
    } else {
      loaded.remove(s);
    }
  }
}
