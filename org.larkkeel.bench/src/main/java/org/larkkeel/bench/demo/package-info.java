/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * The demo: nodes, stand-ins of the upstreams and the platform, and a load whose answers are
 * verified, in one JVM.
 */
package org.larkkeel.bench.demo;
