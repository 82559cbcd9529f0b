/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

/**
 * What is known of a member. The order of the constants is the order of precedence between records
 * of one incarnation and refutation.
 *
 * @since 0.1
 */
public enum MemberState {
  /** Answers probes. */
  LIVE,
  /** Missed a probe and has not refuted it yet. */
  SUSPECT,
  /** Did not refute the suspicion in time: the process or the way to it is lost. */
  DEAD,
  /** Stopped on its own after giving everything back. */
  LEFT;

  /**
   * Tells whether the member still takes part.
   *
   * @return true for live and suspect members
   */
  public boolean isPresent() {
    return this == LIVE || this == SUSPECT;
  }
}
