/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import org.larkkeel.store.StoreVersion;

/**
 * The versions of the newest changes that a node has seen in the store.
 *
 * <p>Immutable and thread-safe.
 *
 * @param configurations the version of the newest change of the configurations
 * @param upstreams the version of the newest change of the upstreams
 */
record FeedChanges(StoreVersion configurations, StoreVersion upstreams) {
  /** No change was seen. */
  static final FeedChanges NONE = new FeedChanges(StoreVersion.NONE, StoreVersion.NONE);
}
