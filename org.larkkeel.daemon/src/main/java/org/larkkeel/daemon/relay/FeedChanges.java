/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import org.larkkeel.store.StoreVersion;

/**
 * The newest changes that a node has seen in the store, as versions of the store.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param configurations of the configurations
 * @param upstreams of the upstreams
 */
record FeedChanges(StoreVersion configurations, StoreVersion upstreams) {
  /** None. */
  static final FeedChanges NONE = new FeedChanges(StoreVersion.NONE, StoreVersion.NONE);
}
