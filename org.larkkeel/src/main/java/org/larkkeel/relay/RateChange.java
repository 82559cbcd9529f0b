/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * How the limit of an upstream's requests, as a node believes it, has changed.
 *
 * @since 0.1
 */
public enum RateChange {
  /** There was none. */
  NAMED,

  /** It is another one. */
  CHANGED,

  /** There is none any more. */
  LIFTED
}
