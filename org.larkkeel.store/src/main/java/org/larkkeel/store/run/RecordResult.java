/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.run;

/**
 * The result of recording the outcome of an attempt.
 *
 * @since 0.1
 */
public enum RecordResult {
  /** The outcome is durable, or one was recorded earlier. */
  RECORDED,
  /** This host does not own the shard; send the outcome to the owner. */
  NOT_OWNER,
  /** The outcome may not be durable; send it again. */
  UNAVAILABLE,
  /** The attempt does not hold the key: it never did, was released, or its retention expired. */
  NO_SUCH_RUN
}
