/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

/**
 * The class of a request.
 *
 * @since 0.1
 */
public enum Urgency {
  /** Somebody waits for the first token; refused early when the latency target can't be met. */
  INTERACTIVE,
  /** Can wait for its deadline; queued rather than refused. */
  PATIENT
}
