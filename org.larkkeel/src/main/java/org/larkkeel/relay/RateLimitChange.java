/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * A change of the request rate limit of an upstream, as known to this node.
 *
 * @since 0.1
 */
public enum RateLimitChange {
  /** The upstream announced a limit; none was known before. */
  NAMED,

  /** The limit has a new value. */
  CHANGED,

  /** The limit has ended. */
  LIFTED
}
