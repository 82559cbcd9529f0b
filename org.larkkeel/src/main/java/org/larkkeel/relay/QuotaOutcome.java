/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * The decision about a call by the quota of its workspace.
 *
 * @since 0.1
 */
public enum QuotaOutcome {
  /** The call got its tokens from those held by this node or granted by the coordinator. */
  GRANTED,

  /** The call got its tokens although the coordinator did not answer in time. */
  GRANTED_ALONE,

  /** The call exceeds the quota. */
  REFUSED,

  /** The call exceeds what this node may admit without the coordinator. */
  REFUSED_ALONE
}
