/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.quota;

/**
 * By how much a quota may be exceeded within a window of time.
 *
 * <p>Nodes use it to keep some tokens ahead of need, and to admit calls while they reach no
 * coordinator. Without any, each call is decided by the coordinator. Immutable and safe for use by
 * several threads.
 *
 * @param windowSeconds the length of the window
 * @param share the part of what a quota allows in a window that may be used beyond it
 * @param slack tokens that may be used beyond that
 * @since 0.1
 */
public record QuotaTolerance(double windowSeconds, double share, double slack) {
  /** No tolerance. */
  public static final QuotaTolerance NONE = new QuotaTolerance(1, 0, 0);

  /**
   * Of requests to upstreams, in thousandths: half of what they may get beyond their limit in 4 s,
   * as a request may take up to a second from its permit to its upstream.
   */
  static final QuotaTolerance UPSTREAMS = new QuotaTolerance(4, 0.25, 2_500);

  /** The part of the tolerance that is added to what can be saved up. */
  private static final double SAVED = 0.4;

  /** The part that nodes keep ahead of need; the rest is for nodes without coordinator. */
  private static final double AHEAD = 0.2;

  /** The part of all nodes that may be without coordinator at the same time. */
  private static final double ALONE = 1 / 3.0;

  private double tokens(TokenLimit limit) {
    return slack + share * (limit.perSecond() * windowSeconds + limit.burst());
  }

  /**
   * The most that can be saved up: the burst, and beyond it a part of what may be exceeded, so that
   * large calls that come together are not refused while the window allows them.
   */
  double saved(TokenLimit limit) {
    return limit.burst() + SAVED * tokens(limit);
  }

  /** The tokens that each of some nodes may keep ahead of need. */
  long ahead(TokenLimit limit, int nodes) {
    return (long) (AHEAD * tokens(limit) / nodes);
  }

  /** The tokens that each of some nodes may be in debt while it reaches no coordinator. */
  long overdraft(TokenLimit limit, int nodes) {
    return (long) ((1 - SAVED - AHEAD) * tokens(limit) / (ALONE * nodes));
  }
}
