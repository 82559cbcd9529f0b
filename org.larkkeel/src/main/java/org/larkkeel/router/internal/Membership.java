/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

/**
 * The place of one upstream in one candidate set.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class Membership {
  static final int ABSENT = -1;

  final CandidateSet set;
  final UpstreamState upstream;
  int index = ABSENT;
  int spare;
  int others;
  int usable;
  double releaseRate;

  Membership(CandidateSet set, UpstreamState upstream) {
    this.set = set;
    this.upstream = upstream;
  }
}
