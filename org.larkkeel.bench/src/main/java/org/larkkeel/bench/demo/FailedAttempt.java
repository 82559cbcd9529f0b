/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.demo;

/** The way in which one attempt of a request failed. */
enum FailedAttempt {
  /** No connection was opened, so that no byte was sent. */
  UNREACHED,
  /** The connection failed before the complete answer was received. */
  BROKEN,
  /** A request that may run more than once was refused as not run. */
  REPEATABLE_NOT_RUN,
  /** A request that may run more than once was refused and may have run. */
  REPEATABLE_MAY_HAVE_RUN,
  /** An order was refused as not run. */
  ORDER_NOT_RUN,
  /** An order was refused and may have run. */
  ORDER_MAY_HAVE_RUN
}
