/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.demo;

/** How one attempt of a request failed. */
enum FailedAttempt {
  /** No connection was made, so that no byte was sent. */
  UNREACHED,
  /** The connection failed before the whole answer had come. */
  BROKEN,
  /** A request that may be repeated was refused as not run. */
  REPEATABLE_NOT_RUN,
  /** A request that may be repeated was refused and may have run. */
  REPEATABLE_MAY_HAVE_RUN,
  /** An order was refused as not run. */
  ORDER_NOT_RUN,
  /** An order was refused and may have run. */
  ORDER_MAY_HAVE_RUN
}
