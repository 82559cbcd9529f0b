/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

import org.larkkeel.relay.CallSize;

/**
 * What a caller declares of its request.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param wireId what the caller calls it; empty if it has no id
 * @param deadlineMillis how long the caller waits; 0 if it does not say
 * @param size the size of its generation
 * @since 0.1
 */
public record CallFacts(String wireId, long deadlineMillis, CallSize size) {}
