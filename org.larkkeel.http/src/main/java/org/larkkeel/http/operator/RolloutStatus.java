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
 * Where a revision is in force.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param revision the revision asked for
 * @param nodes live nodes in all
 * @param inForce live nodes with that revision or a later one
 * @param behind the others
 * @since 0.1
 */
public record RolloutStatus(Revision revision, int nodes, int inForce, List<NodeRevision> behind) {
  /** Copies the list. */
  public RolloutStatus {
    behind = List.copyOf(behind);
  }

  /**
   * Tells whether the rollout is over.
   *
   * @return true if every live node has the revision
   */
  @JsonIgnore
  public boolean isComplete() {
    return nodes > 0 && inForce == nodes;
  }

  /**
   * How far one node is.
   *
   * @param host the node
   * @param revision the configuration in force there
   */
  public record NodeRevision(HostName host, Revision revision) {}
}
