/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fake;

import org.larkkeel.lib.AttemptId;

/**
 * The id of an attempt at upstreams, unique over all nodes.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param node the number of the node
 * @param attempt the attempt at that node
 * @since 0.1
 */
record WorkId(int node, AttemptId attempt) {}
