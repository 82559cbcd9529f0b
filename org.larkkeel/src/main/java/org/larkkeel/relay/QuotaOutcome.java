/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * What was decided of a call by its workspace's quota.
 *
 * @since 0.1
 */
public enum QuotaOutcome {
  /** It has its tokens, held here or granted by the coordinator. */
  GRANTED,

  /** It has its tokens, though the coordinator was not reached in time. */
  GRANTED_ALONE,

  /** It is beyond the quota. */
  REFUSED,

  /** It is beyond what this node may admit without the coordinator. */
  REFUSED_ALONE
}
