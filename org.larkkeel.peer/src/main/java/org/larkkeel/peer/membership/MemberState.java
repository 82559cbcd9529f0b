/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

/**
 * The state of a member. Between records of one incarnation and refutation, a later constant takes
 * precedence.
 *
 * @since 0.1
 */
public enum MemberState {
  /** The member answers probes. */
  LIVE,
  /** The member did not answer a probe and has not refuted the suspicion yet. */
  SUSPECT,
  /**
   * The member did not refute the suspicion in time: its process ended or the network path to it is
   * broken.
   */
  DEAD,
  /** The member announced its stop after it released all leases. */
  LEFT;

  /**
   * Returns whether the member is part of the cluster.
   *
   * @return true for live and suspect members
   */
  public boolean isPresent() {
    return this == LIVE || this == SUSPECT;
  }
}
