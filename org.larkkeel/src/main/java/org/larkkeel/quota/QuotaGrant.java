/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.quota;

import com.google.common.collect.ImmutableList;

/**
 * The coordinator's answer to a {@link QuotaRequest}.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param epoch the epoch of the request
 * @param sequence the sequence number of the request
 * @param shares the grants by quota; quotas whose limit the coordinator does not know are missing
 * @since 0.1
 */
public record QuotaGrant(long epoch, long sequence, ImmutableList<Share> shares)
    implements QuotaMessage {
  /**
   * The tokens granted of one quota.
   *
   * @param key the quota
   * @param tokens the granted tokens
   * @param left the tokens that the coordinator has left, without those that it withholds for the
   *     most urgent rank
   * @param waitNanos the time until the tokens that are missing will have refilled; 0 if none are
   *     missing
   */
  public record Share(QuotaKey key, long tokens, long left, long waitNanos) {}
}
