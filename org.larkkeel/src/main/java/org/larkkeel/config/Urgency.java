/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

/**
 * The urgency of a request.
 *
 * @since 0.1
 */
public enum Urgency {
  /**
   * A user waits for the first token; the request is refused early if its latency target cannot be
   * met.
   */
  INTERACTIVE,
  /** The caller can wait until the deadline; the request is queued rather than refused. */
  PATIENT
}
