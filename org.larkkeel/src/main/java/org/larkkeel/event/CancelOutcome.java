/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.event;

/**
 * The result of one attempt to cancel work at an upstream.
 *
 * @since 0.1
 */
public enum CancelOutcome {
  /** The upstream no longer holds anything of the attempt. */
  ACKNOWLEDGED,
  /** The upstream could not be reached or did not answer. */
  FAILED
}
