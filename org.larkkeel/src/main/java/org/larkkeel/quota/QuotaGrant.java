/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.quota;

import com.google.common.collect.ImmutableList;

/**
 * The coordinator's answer to a {@link QuotaAsk}.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param epoch of the ask
 * @param sequence of the ask
 * @param shares by quota; those whose limit the coordinator does not know are missing
 * @since 0.1
 */
public record QuotaGrant(long epoch, long sequence, ImmutableList<Share> shares)
    implements QuotaMessage {
  /**
   * What is granted of one quota.
   *
   * @param key which
   * @param tokens granted
   * @param left what the coordinator has left
   * @param waitNanos when what is missing of the need will have refilled; 0 if nothing is missing
   */
  public record Share(QuotaKey key, long tokens, long left, long waitNanos) {}
}
