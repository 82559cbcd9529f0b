/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.order;

import org.larkkeel.lib.FencingNumber;

/**
 * What an engine said is in force. Immutable.
 *
 * @param shape what it does, never null
 * @param fencing the number of the last order that it took, 0 before the first
 * @since 0.1
 */
public record EngineReport(EngineShape shape, FencingNumber fencing) {}
