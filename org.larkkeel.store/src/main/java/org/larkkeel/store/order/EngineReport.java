/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.order;

import org.larkkeel.lib.FencingNumber;

/**
 * The state that an engine reported. Immutable.
 *
 * @param shape the shape of the engine, never null
 * @param fencing the fencing number of the last order that the engine accepted, 0 before the first,
 *     never null
 * @since 0.1
 */
public record EngineReport(EngineShape shape, FencingNumber fencing) {}
