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
 * Which upstreams each pool has, kept in step with the configuration by what changed in it.
 *
 * <p>Invariant: equals the selection of every upstream by every pool. Not safe for use by several
 * threads.
 *
 * @since 0.1
 */
public final class PoolIndex {
  private final Map<PoolName, Set<UpstreamName>> members = new TreeMap<>();
  private Configuration current = Configuration.EMPTY;

  /**
   * Takes a configuration.
   *
   * @param next the configuration
   * @return pools that were added or removed, changed, or have other members
   */
  public Set<PoolName> apply(Configuration next) {
    Set<PoolName> touched = new LinkedHashSet<>();
    dropPools(next, touched);
    for (Upstream upstream : current.upstreams().values()) {
      if (!next.upstreams().containsKey(upstream.name())) {
        remove(upstream.name(), touched);
      }
    }
    for (Pool pool : next.pools().values()) {
      if (!pool.equals(current.pools().get(pool.name()))) {
        select(pool, next, touched);
      }
    }
    for (Upstream upstream : next.upstreams().values()) {
      Upstream before = current.upstreams().get(upstream.name());
      if (!upstream.equals(before)) {
        place(upstream, before, next, touched);
      }
    }
    current = next;
    return touched;
  }

  /**
   * The members of a pool.
   *
   * @param pool its name
   * @return names in order; none if there is no such pool
   */
  public ImmutableSet<UpstreamName> members(PoolName pool) {
    Set<UpstreamName> found = members.get(pool);
    return found == null ? ImmutableSet.of() : ImmutableSet.copyOf(found);
  }

  private void dropPools(Configuration next, Set<PoolName> touched) {
    for (PoolName pool : current.pools().keySet()) {
      if (!next.pools().containsKey(pool)) {
        members.remove(pool);
        touched.add(pool);
      }
    }
  }

  private void remove(UpstreamName upstream, Set<PoolName> touched) {
    members.forEach(
        (pool, names) -> {
          if (names.remove(upstream)) {
            touched.add(pool);
          }
        });
  }

  private void select(Pool pool, Configuration next, Set<PoolName> touched) {
    Set<UpstreamName> names = new TreeSet<>();
    for (Upstream upstream : next.upstreams().values()) {
      if (pool.contains(upstream)) {
        names.add(upstream.name());
      }
    }
    members.put(pool.name(), names);
    touched.add(pool.name());
  }

  private void place(
      Upstream upstream, Upstream before, Configuration next, Set<PoolName> touched) {
    boolean sameModels = before != null && before.models().equals(upstream.models());
    for (Pool pool : next.pools().values()) {
      Set<UpstreamName> names = members.get(pool.name());
      boolean belongs = pool.contains(upstream);
      boolean changed = belongs ? names.add(upstream.name()) : names.remove(upstream.name());
      if (changed || (belongs && !sameModels)) {
        touched.add(pool.name());
      }
    }
  }
}
