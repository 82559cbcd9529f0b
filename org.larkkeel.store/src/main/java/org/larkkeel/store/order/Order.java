/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.order;

import org.larkkeel.config.Role;
import org.larkkeel.lib.ModelName;

/**
 * An order to an engine.
 *
 * @since 0.1
 */
public sealed interface Order {

  /**
   * Loads a model in a version, in place of any other version of the model.
   *
   * @param model the model and its version, never null
   */
  record LoadModel(ModelVersion model) implements Order {
    /**
     * Creates an order for any version.
     *
     * @param model the model, never null
     */
    public LoadModel(ModelName model) {
      this(new ModelVersion(model, ModelVersion.ANY));
    }
  }

  /**
   * Unloads a model.
   *
   * @param model the model, never null
   */
  record UnloadModel(ModelName model) implements Order {}

  /**
   * Loads an adapter.
   *
   * @param adapter the adapter, never null
   */
  record LoadAdapter(AdapterName adapter) implements Order {}

  /**
   * Changes the role of the engine.
   *
   * @param role the new role, never null
   */
  record SetRole(Role role) implements Order {}
}
