/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import com.google.common.collect.ImmutableSortedMap;
import java.util.Collection;

/**
 * Provides the objects of a configuration by kind and across all kinds.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class ConfigurationObjects {
  private ConfigurationObjects() {}

  /**
   * Returns the objects of one kind.
   *
   * @param configuration the configuration
   * @param kind the kind
   * @return the objects, sorted by name
   */
  public static Collection<? extends ConfigurationObject> ofKind(
      Configuration configuration, ObjectKind kind) {
    return switch (kind) {
      case UPSTREAM -> configuration.upstreams().values();
      case POOL -> configuration.pools().values();
      case RULE -> configuration.rules().values();
      case WORKSPACE -> configuration.workspaces().values();
    };
  }

  /**
   * Returns the objects of all kinds.
   *
   * @param configuration the configuration
   * @return the objects by id, sorted by kind and name
   */
  public static ImmutableSortedMap<ObjectId, ConfigurationObject> all(Configuration configuration) {
    ImmutableSortedMap.Builder<ObjectId, ConfigurationObject> all =
        ImmutableSortedMap.naturalOrder();
    for (ObjectKind kind : ObjectKind.values()) {
      ofKind(configuration, kind).forEach(object -> all.put(object.id(), object));
    }
    return all.buildOrThrow();
  }
}
