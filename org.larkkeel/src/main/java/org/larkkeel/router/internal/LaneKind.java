/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

/**
 * Why a request waits where it does.
 *
 * @since 0.1
 */
public enum LaneKind {
  /** Has been at an upstream before and goes on first. */
  AGAIN,
  /** Has a small prompt and passes between the long ones. */
  SMALL,
  /** Has a long prompt. */
  LONG,
  /** Missed its target and is served after the others. */
  LATE
}
