/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Measurements of how the heap, the processor time and the calls to the platform grow with the size
 * of a deployment.
 */
package org.larkkeel.bench.capacity;
