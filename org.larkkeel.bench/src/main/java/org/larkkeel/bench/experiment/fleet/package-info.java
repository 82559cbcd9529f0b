/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Simulates a whole fleet of relay nodes in virtual time and without a network. Each node runs the
 * production reducer and load sharing against models of engines, plain services and callers.
 *
 * <p>A run is a function of its scenario and seed. The models make no decisions for the nodes; they
 * carry out the nodes' effects, take time and count.
 */
package org.larkkeel.bench.experiment.fleet;
