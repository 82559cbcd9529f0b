/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.order;

/**
 * The result of an order.
 *
 * @since 0.1
 */
public enum OrderResult {
  /** The engine executed the order. */
  IN_FORCE,
  /** The engine refused the order because it has seen a newer fencing number. */
  STALE_FENCING,
  /** The engine refused the order for another reason. */
  REFUSED,
  /** No byte of the order was sent. */
  NOT_SENT,
  /** The outcome is unknown; the order may be executed until the longest pause is over. */
  UNKNOWN
}
