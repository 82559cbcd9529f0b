/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

/** An injected fault of one call to the store. */
public enum Fault {
  /** No fault. */
  NONE,
  /** The call takes effect, but its answer is lost. */
  LOSE_ANSWER,
  /** The call never arrives, which its caller cannot know. */
  LOSE_REQUEST,
  /** The call takes effect after its caller has given up. */
  LATE_EFFECT,
  /** The store refuses the call. */
  REFUSE
}
