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
 * The role, models and adapters of an engine, either reported or declared. Immutable.
 *
 * @param role the role of the engine, never null
 * @param models the models that the engine serves, never null
 * @param versions the versions of those models whose version is known or declared, never null
 * @param adapters the adapters that the engine has, possibly among others, never null
 * @since 0.1
 */
public record EngineShape(
    Role role,
    ImmutableSet<ModelName> models,
    ImmutableMap<ModelName, String> versions,
    ImmutableSet<AdapterName> adapters) {
  /**
   * Creates a shape without versions and adapters.
   *
   * @param role the role of the engine, never null
   * @param models the models, never null
   */
  public EngineShape(Role role, ImmutableSet<ModelName> models) {
    this(role, models, ImmutableMap.of(), ImmutableSet.of());
  }

  /**
   * Returns whether an engine of this shape needs no order. Additional adapters may stay, since no
   * order removes one.
   *
   * @param required the required shape
   * @return true if this shape conforms to the required one
   */
  public boolean satisfies(EngineShape required) {
    return role == required.role
        && models.equals(required.models)
        && models.stream().allMatch(m -> version(m).satisfies(required.version(m)))
        && adapters.containsAll(required.adapters);
  }

  /**
   * Returns a model with its version.
   *
   * @param model the model
   * @return the model, with {@link ModelVersion#ANY} if no version is known or declared
   */
  public ModelVersion version(ModelName model) {
    return new ModelVersion(
        model, Optional.ofNullable(versions.get(model)).orElse(ModelVersion.ANY));
  }
}
