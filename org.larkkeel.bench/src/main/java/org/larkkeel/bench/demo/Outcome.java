/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.demo;

/**
 * The way in which a request of the load ended for its caller.
 *
 * @since 0.1
 */
enum Outcome {
  /** The complete and correct answer arrived. */
  ANSWERED,
  /** An incorrect answer arrived. */
  WRONG,
  /** The request was refused with an error other than an internal one. */
  REFUSED,
  /** Neither an answer nor a refusal arrived, or the node reported an internal error. */
  LOST
}
