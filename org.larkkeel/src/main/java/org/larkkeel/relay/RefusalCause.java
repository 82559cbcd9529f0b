/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * Why an attempt did not run.
 *
 * @since 0.1
 */
public enum RefusalCause {
  /** No byte of it reached the upstream. */
  NOT_SENT,

  /** The upstream said that it did not run it. */
  DECLINED,

  /** Another upstream has the address. */
  WRONG_UPSTREAM
}
