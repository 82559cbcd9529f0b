/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fleet;

/**
 * The use that was made of prefilled prompt tokens.
 *
 * @since 0.1
 */
public enum PrefillUse {
  /** The caller received the answer. */
  USED,
  /** The node cancelled the attempt, or the call had ended before its answer arrived. */
  CANCELLED,
  /** The handle expired before another engine took over the prompt. */
  HANDLE_LAPSED,
  /** The node freed the handle of a prefilled prompt. */
  HANDLE_FREED,
  /** The engine ran out of memory and dropped the request, to prefill it again later. */
  PREEMPTED,
  /** The engine lost its memory. */
  ENGINE_LOST
}
