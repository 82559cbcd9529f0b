/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * The reason why an attempt did not run.
 *
 * @since 0.1
 */
public enum RefusalCause {
  /** No byte of the request reached the upstream. */
  NOT_SENT,

  /** The upstream answered that it did not run the request. */
  DECLINED,

  /** The address belongs to another upstream. */
  WRONG_UPSTREAM
}
