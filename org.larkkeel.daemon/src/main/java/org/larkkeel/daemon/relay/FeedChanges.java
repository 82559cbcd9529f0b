/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

/**
 * The newest changes that a node has seen in the store, as versions of the store; 0 for none.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param configurations of the configurations
 * @param upstreams of the upstreams
 */
record FeedChanges(long configurations, long upstreams) {
  /** None. */
  static final FeedChanges NONE = new FeedChanges(0, 0);
}
