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
 * @param id the attempt
 * @param arrival the request
 * @param resumeFrom tokens of the answer that are already passed on
 * @param priority lower runs earlier
 * @param reply takes the results
 * @since 0.1
 */
record Work(WorkId id, Arrival arrival, int resumeFrom, int priority, Reply reply) {}
