/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.operator;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Revision;

/**
 * The rollout state of a revision over the live nodes.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param revision the requested revision
 * @param nodes the number of live nodes
 * @param inForce the number of live nodes with the requested revision or a later one
 * @param behind the live nodes with an earlier revision
 * @since 0.1
 */
public record RolloutStatus(Revision revision, int nodes, int inForce, List<NodeRevision> behind) {
  /** Makes a defensive copy of the list. */
  public RolloutStatus {
    behind = List.copyOf(behind);
  }

  /**
   * Returns whether the rollout is complete.
   *
   * @return true if there are live nodes and all of them have the revision or a later one
   */
  @JsonIgnore
  public boolean isComplete() {
    return nodes > 0 && inForce == nodes;
  }

  /**
   * The revision in force at one node.
   *
   * @param host the host of the node
   * @param revision the revision of the configuration in force at the node
   */
  public record NodeRevision(HostName host, Revision revision) {}
}
