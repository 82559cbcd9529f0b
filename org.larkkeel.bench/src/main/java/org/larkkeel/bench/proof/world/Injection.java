/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.world;

/**
 * A fault at a place.
 *
 * @param place where
 * @param fault what
 * @since 0.1
 */
public record Injection(Place place, Fault fault) {}
