/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

/**
 * The support of an upstream for the fencing numbers of orders.
 *
 * @since 0.1
 */
public enum FencingSupport {
  /** The upstream refuses orders with an older fencing number. */
  CHECKED,
  /**
   * The upstream ignores fencing numbers, so a sender must wait until no order of an earlier lease
   * holder can arrive any more.
   */
  IGNORED
}
