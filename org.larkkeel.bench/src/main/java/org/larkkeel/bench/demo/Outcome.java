/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.demo;

/**
 * How a request of the load ended for its caller.
 *
 * @since 0.1
 */
enum Outcome {
  /** The whole answer arrived and is the right one. */
  ANSWERED,
  /** An answer arrived that is not the right one. */
  WRONG,
  /** The request was refused, with a reason that may be true. */
  REFUSED,
  /** Neither an answer nor a refusal came. */
  LOST
}
