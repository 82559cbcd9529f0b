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
 * The state of one node.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param host the host
 * @param dataCentre its data centre
 * @param incarnation the start of its process
 * @param phase whether it takes requests
 * @param revision the configuration in force
 * @param store whether the object API answers
 * @param liveNodes nodes that it believes live, itself included
 * @param requests requests in progress, those that wait included
 * @param queued requests that wait for an upstream
 * @param upstreams one line an upstream, in order of name
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
  /** Copies the list. */
  public NodeStatus {
    upstreams = List.copyOf(upstreams);
  }

  /** Whether a node takes requests. */
  public enum Phase {
    /** It has no configuration yet. */
    STARTING,
    /** It takes requests. */
    READY,
    /** It is cut off and takes no requests. */
    UNREADY,
    /** It finishes requests in progress and takes no more. */
    DRAINING
  }

  /** Whether the object API answers. */
  public enum StoreState {
    /** The last call was answered. */
    REACHABLE,
    /** The last call was not answered. */
    UNREACHABLE
  }

  /** Whether an upstream gets requests. */
  public enum UpstreamPhase {
    /** It gets requests. */
    AVAILABLE,
    /** It failed repeatedly and gets none for a time. */
    EJECTED,
    /** Its label says that it is leaving. */
    LEAVING,
    /** The configuration no longer has it; work there comes to its end. */
    REMOVED
  }

  /**
   * One upstream as this node sees it.
   *
   * @param name its name
   * @param phase whether it gets requests
   * @param slots slots that this node may use
   * @param freeSlots those that are free
   * @param outstanding attempts of this node at it
   * @param prefillTokensPerSecond learnt rate; 0 if unknown
   * @param decodeMillisPerToken learnt time between tokens; 0 if unknown
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
