/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.operator;

import java.util.List;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.UpstreamName;

/**
 * The state of one node, as reported by the node itself.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param host the host of the node
 * @param dataCentre its data centre
 * @param incarnation the incarnation of its process
 * @param phase whether the node accepts requests
 * @param revision the configuration in force
 * @param store whether the object API responds
 * @param liveNodes the number of nodes that this node considers live, including itself
 * @param requests the number of requests in progress, including queued ones
 * @param queued the number of requests that wait for an upstream
 * @param upstreams one entry per upstream, ordered by name
 * @since 0.1
 */
public record NodeStatus(
    HostName host,
    DataCentreName dataCentre,
    Incarnation incarnation,
    Phase phase,
    Revision revision,
    StoreState store,
    int liveNodes,
    int requests,
    int queued,
    List<UpstreamStatus> upstreams) {
  /** Makes a defensive copy of the list. */
  public NodeStatus {
    upstreams = List.copyOf(upstreams);
  }

  /** The phase of a node, which determines whether it accepts requests. */
  public enum Phase {
    /** The node has no configuration yet. */
    STARTING,
    /** The node accepts requests. */
    READY,
    /** The node is partitioned from the object API and all peers, and accepts no requests. */
    UNREADY,
    /** The node finishes requests in progress and accepts no new ones. */
    DRAINING
  }

  /** The reachability of the object API. */
  public enum StoreState {
    /** The last call to the object API got a response. */
    REACHABLE,
    /** The last call to the object API got no response. */
    UNREACHABLE
  }

  /** The phase of an upstream, which determines whether it gets requests. */
  public enum UpstreamPhase {
    /** The upstream gets requests. */
    AVAILABLE,
    /** The upstream failed repeatedly and temporarily gets no requests. */
    EJECTED,
    /** The upstream's label marks it as leaving. */
    LEAVING,
    /** The upstream was removed from the configuration; requests in progress there may finish. */
    REMOVED
  }

  /**
   * The state of one upstream, as known to this node.
   *
   * @param name the name of the upstream
   * @param phase whether the upstream gets requests
   * @param slots the number of slots that this node may use
   * @param freeSlots the number of those slots that are free
   * @param outstanding the number of this node's attempts in progress at the upstream
   * @param prefillTokensPerSecond the estimated prefill rate; 0 if unknown
   * @param decodeMillisPerToken the estimated time between tokens; 0 if unknown
   */
  public record UpstreamStatus(
      UpstreamName name,
      UpstreamPhase phase,
      int slots,
      int freeSlots,
      int outstanding,
      double prefillTokensPerSecond,
      double decodeMillisPerToken) {}
}
