/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.quota;

/**
 * The amount by which a quota may be exceeded within a time window.
 *
 * <p>Nodes use it to hold some tokens in advance of demand, and to admit calls while they reach no
 * coordinator. Without tolerance, the coordinator decides about each call. Immutable and safe for
 * use by several threads.
 *
 * @param windowSeconds the length of the window
 * @param share the fraction of the amount allowed in a window by which the quota may be exceeded
 * @param slack tokens that may be used in addition
 * @since 0.1
 */
public record QuotaTolerance(double windowSeconds, double share, double slack) {
  /** No tolerance. */
  public static final QuotaTolerance NONE = new QuotaTolerance(1, 0, 0);

  /**
   * The tolerance for request rate limits of upstreams, in thousandths of a request: half of the
   * excess that upstreams accept in 4 s, because a request can take up to a second from its permit
   * to its upstream.
   */
  static final QuotaTolerance UPSTREAMS = new QuotaTolerance(4, 0.25, 2_500);

  /** The fraction of the tolerance that is added to the burst. */
  private static final double BURST_FRACTION = 0.4;

  /**
   * The fraction that nodes hold in advance of demand; the remainder is for nodes without a
   * coordinator.
   */
  private static final double AHEAD_FRACTION = 0.2;

  /** The fraction of all nodes that is assumed to be without a coordinator at the same time. */
  private static final double ALONE_FRACTION = 1 / 3.0;

  private double tokens(TokenLimit limit) {
    return slack + share * (limit.perSecond() * windowSeconds + limit.burst());
  }

  /**
   * Returns the maximum level of a quota: the burst plus a part of the tolerance, so that large
   * calls that arrive together are not refused while the window allows them.
   */
  double maxLevel(TokenLimit limit) {
    return limit.burst() + BURST_FRACTION * tokens(limit);
  }

  /** Returns the tokens that each of a number of nodes may hold in advance of demand. */
  long ahead(TokenLimit limit, int nodes) {
    return (long) (AHEAD_FRACTION * tokens(limit) / nodes);
  }

  /** Returns the debt that each of a number of nodes may have while it reaches no coordinator. */
  long overdraft(TokenLimit limit, int nodes) {
    return (long)
        ((1 - BURST_FRACTION - AHEAD_FRACTION) * tokens(limit) / (ALONE_FRACTION * nodes));
  }
}
