/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** The load client of a soak test over separate processes. */
package org.larkkeel.bench.soak;
