/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform.order;

import com.google.common.collect.ImmutableSet;
import org.larkkeel.config.Role;
import org.larkkeel.lib.ModelName;

/**
 * What an engine does, or should do. Immutable.
 *
 * @param role its role, never null
 * @param models the models that it serves, never null
 * @since 0.1
 */
public record EngineShape(Role role, ImmutableSet<ModelName> models) {}
