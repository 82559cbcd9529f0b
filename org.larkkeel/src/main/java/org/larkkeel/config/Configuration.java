/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import com.google.common.collect.ImmutableSortedMap;
import org.larkkeel.lib.PoolName;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.RuleName;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.lib.WorkspaceName;

/**
 * A complete configuration at one revision.
 *
 * <p>Invariant: of two configurations the one with the greater revision is newer. Immutable and
 * safe for use by several threads.
 *
 * @param revision the number of the last log entry that was applied
 * @param upstreams upstreams by name
 * @param pools pools by name
 * @param rules rules by name
 * @param workspaces workspaces by name
 * @since 0.1
 */
public record Configuration(
    Revision revision,
    ImmutableSortedMap<UpstreamName, Upstream> upstreams,
    ImmutableSortedMap<PoolName, Pool> pools,
    ImmutableSortedMap<RuleName, Rule> rules,
    ImmutableSortedMap<WorkspaceName, Workspace> workspaces) {
  /** The configuration before any change. */
  public static final Configuration EMPTY =
      new Configuration(
          Revision.NONE,
          ImmutableSortedMap.of(),
          ImmutableSortedMap.of(),
          ImmutableSortedMap.of(),
          ImmutableSortedMap.of());

  /**
   * Returns a copy with another revision.
   *
   * @param newRevision the revision
   * @return the copy
   */
  public Configuration withRevision(Revision newRevision) {
    return new Configuration(newRevision, upstreams, pools, rules, workspaces);
  }
}
