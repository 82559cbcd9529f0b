/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

/** What goes wrong with one call. */
public enum Fault {
  /** Nothing. */
  NONE,
  /** The call takes effect, its answer is lost. */
  LOSE_ANSWER,
  /** The call never arrives; its caller can not tell. */
  LOSE_REQUEST,
  /** The caller gives up, then the call takes effect. */
  LATE_EFFECT,
  /** The store refuses the call. */
  REFUSE
}
