/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.run;

/**
 * What became of an outcome given to be recorded.
 *
 * @since 0.1
 */
public enum RecordResult {
  /** It is durable, or was before. */
  RECORDED,
  /** Another host keeps the records; send it there. */
  NOT_OWNER,
  /** It may not be durable; send it again. */
  UNAVAILABLE,
  /** There is no such attempt, or its time of retention is over. */
  NO_SUCH_RUN
}
