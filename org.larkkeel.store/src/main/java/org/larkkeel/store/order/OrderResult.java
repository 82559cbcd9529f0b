/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.order;

/**
 * What became of an order.
 *
 * @since 0.1
 */
public enum OrderResult {
  /** The engine carried it out. */
  IN_FORCE,
  /** The engine has seen a newer fencing number and refused it. */
  STALE_FENCING,
  /** The engine refused it for another reason. */
  REFUSED,
  /** No byte of it was sent. */
  NOT_SENT,
  /** It may be carried out, now or until the longest pause is over. */
  UNKNOWN
}
