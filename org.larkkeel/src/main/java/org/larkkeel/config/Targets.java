/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import java.time.Duration;

/**
 * The times that requests of a rule should meet.
 *
 * <p>Invariant: all are positive. Immutable and safe for use by several threads.
 *
 * @param firstToken from arrival to the first token, or to the answer of a plain call
 * @param betweenTokens mean time between tokens after the first
 * @param deadline from arrival to the end; work past it is given up
 * @since 0.1
 */
public record Targets(Duration firstToken, Duration betweenTokens, Duration deadline) {
  /** Targets of a rule that names none. */
  public static final Targets DEFAULT =
      new Targets(Duration.ofMillis(1600), Duration.ofMillis(68), Duration.ofMinutes(2));
}
