/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.event;

/**
 * How far the request got towards the upstream in a failed attempt.
 *
 * @since 0.1
 */
public enum Exposure {
  /** No byte of the request left this node. */
  NOT_SENT,
  /** The upstream said that it did not run the request. */
  REFUSED,
  /** At least a byte was sent and the outcome is not known, or the request ran in part. */
  MAY_HAVE_RUN
}
