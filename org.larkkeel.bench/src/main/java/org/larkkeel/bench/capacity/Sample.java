/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.capacity;

/**
 * One measured figure.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param series what was measured, such as {@code router.heap}
 * @param by what was varied, such as {@code upstreams}
 * @param size how many of that there were
 * @param value the figure
 * @param unit its unit
 * @since 0.1
 */
record Sample(String series, String by, double size, double value, String unit) {}
