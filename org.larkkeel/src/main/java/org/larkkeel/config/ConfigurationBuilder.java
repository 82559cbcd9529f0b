/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import com.google.common.collect.ImmutableSortedMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.larkkeel.lib.PoolName;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.RuleName;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.lib.WorkspaceName;

/**
 * Builds a configuration by adding and removing objects, starting from an existing configuration.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class ConfigurationBuilder {
  private final Revision revision;
  private final Map<UpstreamName, Upstream> upstreams;
  private final Map<PoolName, Pool> pools;
  private final Map<RuleName, Rule> rules;
  private final Map<WorkspaceName, Workspace> workspaces;

  /**
   * Creates a builder that starts from a configuration.
   *
   * @param initial the configuration, never null; not modified
   */
  public ConfigurationBuilder(Configuration initial) {
    revision = initial.revision();
    upstreams = new TreeMap<>(initial.upstreams());
    pools = new TreeMap<>(initial.pools());
    rules = new TreeMap<>(initial.rules());
    workspaces = new TreeMap<>(initial.workspaces());
  }

  /**
   * Adds or replaces an object.
   *
   * @param object the object, never null
   * @return this
   */
  public ConfigurationBuilder put(ConfigurationObject object) {
    var unused =
        switch (object) {
          case Upstream upstream -> upstreams.put(upstream.name(), upstream);
          case Pool pool -> pools.put(pool.name(), pool);
          case Rule rule -> rules.put(rule.name(), rule);
          case Workspace workspace -> workspaces.put(workspace.name(), workspace);
        };
    return this;
  }

  /**
   * Removes an object, if present.
   *
   * @param id the id of the object, never null
   * @return this
   */
  public ConfigurationBuilder remove(ObjectId id) {
    var unused =
        switch (id.kind()) {
          case UPSTREAM -> upstreams.remove(new UpstreamName(id.name()));
          case POOL -> pools.remove(new PoolName(id.name()));
          case RULE -> rules.remove(new RuleName(id.name()));
          case WORKSPACE -> workspaces.remove(new WorkspaceName(id.name()));
        };
    return this;
  }

  /**
   * Returns an object.
   *
   * @param id the id of the object, never null
   * @return the object, empty if there is none
   */
  public Optional<ConfigurationObject> get(ObjectId id) {
    return Optional.ofNullable(
        switch (id.kind()) {
          case UPSTREAM -> upstreams.get(new UpstreamName(id.name()));
          case POOL -> pools.get(new PoolName(id.name()));
          case RULE -> rules.get(new RuleName(id.name()));
          case WORKSPACE -> workspaces.get(new WorkspaceName(id.name()));
        });
  }

  /**
   * Builds the configuration.
   *
   * @return the configuration, with the revision of the initial one
   */
  public Configuration build() {
    return new Configuration(
        revision,
        ImmutableSortedMap.copyOf(upstreams),
        ImmutableSortedMap.copyOf(pools),
        ImmutableSortedMap.copyOf(rules),
        ImmutableSortedMap.copyOf(workspaces));
  }
}
