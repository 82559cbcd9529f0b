/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

/**
 * The membership of one upstream in one candidate set, with its part of the totals of the set.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class Membership {
  static final int ABSENT = -1;

  final CandidateSet set;
  final UpstreamState upstream;
  int availableIndex = ABSENT;
  int unreserved;
  int heldByOthers;
  int usable;
  double releaseRate;

  Membership(CandidateSet set, UpstreamState upstream) {
    this.set = set;
    this.upstream = upstream;
  }
}
