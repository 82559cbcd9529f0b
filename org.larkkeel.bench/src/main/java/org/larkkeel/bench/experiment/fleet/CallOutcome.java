/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fleet;

/**
 * The result of a call for its caller, after all its attempts.
 *
 * @since 0.1
 */
public enum CallOutcome {
  /** Complete, with the first event or the answer within the target and no pause too long. */
  IN_TIME,
  /** Complete, but after the target or with too long a pause between events. */
  LATE,
  /** Refused as not run, and refused again on every retry. */
  REFUSED,
  /** Ended by the node in any other way. */
  FAILED,
  /** Abandoned by its caller. */
  LEFT
}
