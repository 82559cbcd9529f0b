/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.event;

/**
 * The result of recording how an at-most-once run ended.
 *
 * @since 0.1
 */
public enum RecordOutcome {
  /** The outcome is durable. */
  RECORDED,
  /** The outcome could not be made durable; later callers see it as unknown. */
  FAILED
}
