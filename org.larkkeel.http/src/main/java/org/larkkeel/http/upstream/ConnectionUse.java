/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

/**
 * Which connections of a pool a request may use.
 *
 * @since 0.1
 */
public enum ConnectionUse {
  /** The connections for requests. */
  REQUEST,
  /** The reserved ones as well: cancels and polls, which free or protect capacity. */
  CONTROL
}
