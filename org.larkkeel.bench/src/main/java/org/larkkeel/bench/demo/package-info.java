/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** The demo: nodes, stand-ins and a verified load in one JVM. */
package org.larkkeel.bench.demo;
