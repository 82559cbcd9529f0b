/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.world;

/**
 * A fault to inject at a point of a run.
 *
 * @param point the injection point
 * @param fault the fault
 * @since 0.1
 */
public record Injection(InjectionPoint point, Fault fault) {}
