/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer;

import java.time.Duration;

/**
 * Whether a request is within the limits of its workspace.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param admitted true if it may run
 * @param retryAfter if not, when it may be repeated
 * @since 0.1
 */
public record LimitDecision(boolean admitted, Duration retryAfter) {}
