/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.event;

/**
 * The result of one try to cancel an attempt.
 *
 * @since 0.1
 */
public enum CancelOutcome {
  /** The upstream holds nothing of the attempt any more. */
  ACKNOWLEDGED,
  /** The upstream could not be asked, or did not answer. */
  FAILED
}
