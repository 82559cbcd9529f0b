/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.world;

/**
 * A point of a run at which a fault may be injected.
 *
 * @param step the type of the event or effect
 * @param moment the moment, relative to the step
 * @since 0.1
 */
public record InjectionPoint(Class<?> step, Moment moment) {}
