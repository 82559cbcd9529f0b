/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** Measures how state, time and messages grow with the size of a deployment. */
package org.larkkeel.bench.capacity;
