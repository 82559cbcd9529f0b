/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.capacity;

/**
 * One measured value.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param series the measured quantity, such as {@code router.heap}
 * @param by the varied quantity, such as {@code upstreams}
 * @param size the size of the varied quantity
 * @param value the measured value
 * @param unit the unit of the value
 * @since 0.1
 */
record Sample(String series, String by, double size, double value, String unit) {}
