/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fake;

import org.larkkeel.bench.experiment.scenario.Arrival;

/**
 * One attempt handed to an upstream.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the id of the attempt
 * @param arrival the request
 * @param resumeFrom the number of tokens of the answer that were forwarded already
 * @param priority the priority; lower values run earlier
 * @param reply receives the results
 * @since 0.1
 */
record Work(WorkId id, Arrival arrival, int resumeFrom, int priority, Reply reply) {}
