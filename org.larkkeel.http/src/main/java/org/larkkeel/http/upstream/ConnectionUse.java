/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

/**
 * The connections of a pool that a request may use.
 *
 * @since 0.1
 */
public enum ConnectionUse {
  /** Only the connections for requests. */
  REQUEST,
  /** Also the reserved connections: for cancels and polls, which free or protect capacity. */
  CONTROL
}
