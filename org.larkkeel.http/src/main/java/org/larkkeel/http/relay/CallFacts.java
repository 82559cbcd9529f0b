/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

/**
 * What a caller declares of its request.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param wireId what the caller calls it; empty if it has no id
 * @param deadlineMillis how long the caller waits; 0 if it does not say
 * @param promptTokens the size of the prompt; 0 if there is none
 * @since 0.1
 */
public record CallFacts(String wireId, long deadlineMillis, int promptTokens) {}
