/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.event;

/**
 * The extent to which a failed attempt exposed the request to the upstream.
 *
 * @since 0.1
 */
public enum Exposure {
  /** No byte of the request left this node. */
  NOT_SENT,
  /** The upstream answered that it did not run the request. */
  REFUSED,
  /** At least one byte was sent and the outcome is not known, or the request ran partially. */
  MAY_HAVE_RUN
}
