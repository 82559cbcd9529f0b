/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.quota;

import com.google.common.collect.ImmutableList;

/**
 * What a node asks of the coordinator, and the time that it lends.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param epoch tells the lives of the node's process apart
 * @param sequence grows with each ask of an epoch; a repeated one gets the same grant
 * @param lentNanos the node's own time since its last ask that it has not spent itself
 * @param nodes how many nodes there are, by what the node knows
 * @param wants by quota
 * @since 0.1
 */
public record QuotaAsk(
    long epoch, long sequence, long lentNanos, int nodes, ImmutableList<Want> wants)
    implements QuotaMessage {
  /**
   * What is wanted of one quota.
   *
   * @param key which
   * @param needed tokens of calls that wait, and debt
   * @param least the least that is of use; 0 if no call waits
   * @param ahead tokens to be kept ahead of need
   * @param returned tokens that are given back
   */
  public record Want(QuotaKey key, long needed, long least, long ahead, long returned) {}
}
