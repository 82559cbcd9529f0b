/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer;

import java.time.Duration;

/**
 * The decision whether a request is within the rate limits of its workspace.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param admitted true if the request may run
 * @param retryAfter the delay after which a request that was not admitted may be retried
 * @since 0.1
 */
public record LimitDecision(boolean admitted, Duration retryAfter) {}
