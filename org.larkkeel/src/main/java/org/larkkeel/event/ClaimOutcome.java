/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.event;

/**
 * The result of a durable claim of an at-most-once run.
 *
 * @since 0.1
 */
public enum ClaimOutcome {
  /** The claim is durable; only this node may send the request, and only once. */
  CLAIMED,
  /** The request ran before; its recorded answer is available. */
  ALREADY_DONE,
  /** Another node is running the request now. */
  IN_PROGRESS,
  /** The request was claimed before, and its outcome will never be known. */
  UNKNOWN,
  /** The key was used with another body. */
  KEY_REUSED,
  /** The claim could not be made durable, and nothing was claimed. */
  UNAVAILABLE
}
