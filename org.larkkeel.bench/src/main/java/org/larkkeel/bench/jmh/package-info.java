/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** Microbenchmarks of the router. */
package org.larkkeel.bench.jmh;
