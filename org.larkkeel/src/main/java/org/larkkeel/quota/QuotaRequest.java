/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.quota;

import com.google.common.collect.ImmutableList;

/**
 * A node's request to the quota coordinator, with the time that the node lends.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param epoch the process epoch, which differs between incarnations of the node
 * @param sequence increases with each request of an epoch; a repeated request gets the same grant
 * @param lentNanos the node's own time since its last request that it has not spent itself
 * @param nodes the number of nodes as known to this node
 * @param demands the requested tokens by quota
 * @since 0.1
 */
public record QuotaRequest(
    long epoch, long sequence, long lentNanos, int nodes, ImmutableList<Demand> demands)
    implements QuotaMessage {
  /**
   * The tokens requested of one quota.
   *
   * @param key the quota
   * @param needed tokens for waiting calls and debt
   * @param minUseful the minimum amount that is useful; 0 if no call waits
   * @param ahead tokens to hold in advance of demand
   * @param returned tokens that the node returns
   * @param urgent the part of {@code needed} that is for calls of the most urgent rank of the quota
   *     and for debt before them; 0 if none of them waits, or if the calls have only one rank
   */
  public record Demand(
      QuotaKey key, long needed, long minUseful, long ahead, long returned, long urgent) {
    /** Creates a demand without an urgent part. */
    public Demand(QuotaKey key, long needed, long minUseful, long ahead, long returned) {
      this(key, needed, minUseful, ahead, returned, 0);
    }

    /** Returns a copy with another urgent part, at most the needed tokens. */
    public Demand withUrgent(long tokens) {
      return new Demand(
          key, needed, minUseful, ahead, returned, Math.clamp(tokens, 0, Math.max(0, needed)));
    }
  }
}
