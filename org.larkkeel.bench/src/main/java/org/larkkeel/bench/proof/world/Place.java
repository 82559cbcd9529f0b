/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.world;

/**
 * Where a fault may come about.
 *
 * @param step the type of the event or effect
 * @param moment when
 * @since 0.1
 */
public record Place(Class<?> step, Moment moment) {}
