/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import org.larkkeel.lib.Labels;
import org.larkkeel.lib.PoolName;
import org.larkkeel.selector.Selector;

/**
 * A set of upstreams with one role, chosen by a selector over their labels.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the name, unique among pools
 * @param role what its upstreams do
 * @param labels the labels that rules select pools by
 * @param upstreams chooses the members
 * @since 0.1
 */
public record Pool(PoolName name, Role role, Labels labels, Selector upstreams)
    implements ConfigurationObject {
  /**
   * Tells whether an upstream gets new work of this pool.
   *
   * @param upstream the upstream
   * @return true if the selector matches it and it is not leaving
   */
  public boolean contains(Upstream upstream) {
    return upstreams.matches(upstream.labels()) && !upstream.isLeaving();
  }
}
