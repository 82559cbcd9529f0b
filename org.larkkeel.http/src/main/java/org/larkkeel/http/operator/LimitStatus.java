/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.operator;

import java.util.List;

/**
 * The rate limits announced by upstreams, as known to one node.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param limits one entry for each upstream with a known limit
 * @since 0.1
 */
public record LimitStatus(List<Entry> limits) {
  /** Makes a defensive copy of the list. */
  public LimitStatus {
    limits = List.copyOf(limits);
  }

  /**
   * The rate limit of one upstream.
   *
   * @param upstream the name of the upstream
   * @param start the incarnation of the upstream
   * @param perSecond the maximum number of requests per second, summed over all nodes
   * @param ageMillis an upper bound of the time since a response last showed this limit
   * @param sent the number of requests that this node has sent since it first knew a limit
   */
  public record Entry(String upstream, long start, double perSecond, long ageMillis, long sent) {}
}
