/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * The answer of an upstream to the question for its incarnation.
 *
 * @since 0.1
 */
public enum IncarnationAnswer {
  /** It is the listed incarnation. */
  CONFIRMED,

  /** It is another incarnation, or another upstream. */
  OTHER,

  /** It answered without telling its incarnation. */
  NOT_TOLD,

  /** It did not answer in time, or could not be reached. */
  NONE
}
