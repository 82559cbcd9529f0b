/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** The load client of the soak test, whose nodes run in separate processes. */
package org.larkkeel.bench.soak;
