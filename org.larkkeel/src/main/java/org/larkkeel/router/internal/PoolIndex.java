/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import com.google.common.collect.ImmutableSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.Pool;
import org.larkkeel.config.Upstream;
import org.larkkeel.lib.PoolName;
import org.larkkeel.lib.UpstreamName;

/**
 * An index of the members of each pool, updated incrementally with each configuration.
 *
 * <p>Invariant: the members of each pool are exactly the upstreams that it selects. Not safe for
 * use by several threads.
 *
 * @since 0.1
 */
public final class PoolIndex {
  private final Map<PoolName, Set<UpstreamName>> members = new TreeMap<>();
  private Configuration current = Configuration.EMPTY;

  /**
   * Applies a configuration.
   *
   * @param next the configuration
   * @return the pools that were added, removed or changed, or whose members or their models changed
   */
  public Set<PoolName> apply(Configuration next) {
    Set<PoolName> changedPools = new LinkedHashSet<>();
    dropPools(next, changedPools);
    for (Upstream upstream : current.upstreams().values()) {
      if (!next.upstreams().containsKey(upstream.name())) {
        remove(upstream.name(), changedPools);
      }
    }
    for (Pool pool : next.pools().values()) {
      if (!pool.equals(current.pools().get(pool.name()))) {
        selectMembers(pool, next, changedPools);
      }
    }
    for (Upstream upstream : next.upstreams().values()) {
      Upstream previous = current.upstreams().get(upstream.name());
      if (!upstream.equals(previous)) {
        updateMembers(upstream, previous, next, changedPools);
      }
    }
    current = next;
    return changedPools;
  }

  /**
   * Returns the members of a pool.
   *
   * @param pool the name of the pool
   * @return the names in order; empty if there is no such pool
   */
  public ImmutableSet<UpstreamName> members(PoolName pool) {
    Set<UpstreamName> found = members.get(pool);
    return found == null ? ImmutableSet.of() : ImmutableSet.copyOf(found);
  }

  private void dropPools(Configuration next, Set<PoolName> changedPools) {
    for (PoolName pool : current.pools().keySet()) {
      if (!next.pools().containsKey(pool)) {
        members.remove(pool);
        changedPools.add(pool);
      }
    }
  }

  private void remove(UpstreamName upstream, Set<PoolName> changedPools) {
    members.forEach(
        (pool, names) -> {
          if (names.remove(upstream)) {
            changedPools.add(pool);
          }
        });
  }

  private void selectMembers(Pool pool, Configuration next, Set<PoolName> changedPools) {
    Set<UpstreamName> names = new TreeSet<>();
    for (Upstream upstream : next.upstreams().values()) {
      if (pool.contains(upstream)) {
        names.add(upstream.name());
      }
    }
    members.put(pool.name(), names);
    changedPools.add(pool.name());
  }

  private void updateMembers(
      Upstream upstream, Upstream previous, Configuration next, Set<PoolName> changedPools) {
    boolean sameModels = previous != null && previous.models().equals(upstream.models());
    for (Pool pool : next.pools().values()) {
      Set<UpstreamName> names = members.get(pool.name());
      boolean belongs = pool.contains(upstream);
      boolean changed = belongs ? names.add(upstream.name()) : names.remove(upstream.name());
      if (changed || (belongs && !sameModels)) {
        changedPools.add(pool.name());
      }
    }
  }
}
