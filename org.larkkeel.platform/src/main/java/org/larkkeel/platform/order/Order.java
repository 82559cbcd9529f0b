/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform.order;

import org.larkkeel.config.Role;
import org.larkkeel.lib.ModelName;

/**
 * One order to an engine.
 *
 * @since 0.1
 */
public sealed interface Order {

  /**
   * Serve a model.
   *
   * @param model the model, never null
   */
  record LoadModel(ModelName model) implements Order {}

  /**
   * Serve a model no more.
   *
   * @param model the model, never null
   */
  record UnloadModel(ModelName model) implements Order {}

  /**
   * Change the role.
   *
   * @param role the new role, never null
   */
  record SetRole(Role role) implements Order {}
}
