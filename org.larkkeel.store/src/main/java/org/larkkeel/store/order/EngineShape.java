/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.order;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.larkkeel.config.Role;
import org.larkkeel.lib.ModelName;

/**
 * What an engine does, or should do. Immutable.
 *
 * @param role its role, never null
 * @param models the models that it serves, never null
 * @param versions the versions of those models whose version is known or asked for, never null
 * @param adapters the adapters that it has at least, never null
 * @since 0.1
 */
public record EngineShape(
    Role role,
    ImmutableSet<ModelName> models,
    ImmutableMap<ModelName, String> versions,
    ImmutableSet<AdapterName> adapters) {
  /**
   * A shape without versions and adapters.
   *
   * @param role its role, never null
   * @param models the models, never null
   */
  public EngineShape(Role role, ImmutableSet<ModelName> models) {
    this(role, models, ImmutableMap.of(), ImmutableSet.of());
  }

  /**
   * Tells whether an engine of this shape needs no order. Adapters beyond those asked for may stay,
   * for no order takes one away.
   *
   * @param wanted the shape asked for
   * @return true if it does what is asked for
   */
  public boolean satisfies(EngineShape wanted) {
    return role == wanted.role
        && models.equals(wanted.models)
        && models.stream().allMatch(m -> version(m).satisfies(wanted.version(m)))
        && adapters.containsAll(wanted.adapters);
  }

  /**
   * A model with its version.
   *
   * @param model the model
   * @return the model, with {@link ModelVersion#ANY} if no version is known or asked for
   */
  public ModelVersion version(ModelName model) {
    return new ModelVersion(
        model, Optional.ofNullable(versions.get(model)).orElse(ModelVersion.ANY));
  }
}
