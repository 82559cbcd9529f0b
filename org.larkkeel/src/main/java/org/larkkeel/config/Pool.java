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
 * A set of upstreams with one role; a selector over their labels determines the members.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the name, unique among pools
 * @param role the role of its upstreams
 * @param labels the labels that rules select pools by
 * @param upstreams selects the members by their labels
 * @since 0.1
 */
public record Pool(PoolName name, Role role, Labels labels, Selector upstreams)
    implements ConfigurationObject {
  /**
   * Returns whether an upstream receives new work of this pool.
   *
   * @param upstream the upstream
   * @return true if the selector matches it and it is not leaving
   */
  public boolean contains(Upstream upstream) {
    return upstreams.matches(upstream.labels()) && !upstream.isLeaving();
  }
}
