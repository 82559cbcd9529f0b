/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import java.time.Duration;

/**
 * The latency targets and the deadline of a rule's requests.
 *
 * <p>Invariant: all are positive. Immutable and safe for use by several threads.
 *
 * @param firstToken the target time from arrival to the first token, or to the answer of a plain
 *     call
 * @param betweenTokens the target mean time between tokens after the first
 * @param deadline the maximum time from arrival to the end; work that exceeds it is abandoned
 * @since 0.1
 */
public record Targets(Duration firstToken, Duration betweenTokens, Duration deadline) {
  /** Targets of a rule that names none. */
  public static final Targets DEFAULT =
      new Targets(Duration.ofMillis(1600), Duration.ofMillis(68), Duration.ofMinutes(2));
}
