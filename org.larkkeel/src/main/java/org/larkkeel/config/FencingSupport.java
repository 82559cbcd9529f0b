/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

/**
 * Whether an upstream checks the fencing number of an order.
 *
 * @since 0.1
 */
public enum FencingSupport {
  /** Orders with an older number are refused. */
  CHECKED,
  /** The number is ignored, so the sender has to wait out every older holder. */
  IGNORED
}
