/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.larkkeel.lib.UpstreamIncarnation;

/**
 * Finds out whether this node reaches any upstream of a service, by direct probes of some of them.
 *
 * <p>Invariants: one survey is in progress at a time, and at most one begins in a second. Not
 * thread-safe.
 */
final class PathSurvey {
  private static final long PERIOD_NANOS = 1_000_000_000L;

  /** The minimum number of upstreams that must fail for the service to count as lost. */
  private static final int MIN_FAILED = 2;

  /** The upstreams that have not answered yet. */
  private final Set<UpstreamIncarnation> pending = new HashSet<>();

  /**
   * The upstreams that refuse connections, and for which no tunnel could be probed. They have ended
   * if another upstream of the service is reached.
   */
  private final Set<UpstreamIncarnation> refusing = new HashSet<>();

  private long beganAt = Long.MIN_VALUE / 2;
  private int failed;
  private boolean reached;

  /** What an answer shows. */
  enum Result {
    /** The upstream is not part of the survey in progress. */
    NOT_SURVEYED,
    /** Nothing, so far. */
    OPEN,
    /** None of the upstreams is reached. */
    LOST
  }

  /** Returns whether a survey may begin now. */
  boolean mayBegin(long at) {
    return pending.isEmpty() && at - beganAt >= PERIOD_NANOS;
  }

  /** Returns whether a survey is in progress. */
  boolean isInProgress() {
    return !pending.isEmpty();
  }

  /**
   * Begins a survey.
   *
   * @param upstreams the upstreams that are probed
   * @param failedBefore the number of upstreams whose connections have just failed
   */
  void begin(long at, Collection<UpstreamIncarnation> upstreams, int failedBefore) {
    beganAt = at;
    failed = failedBefore;
    reached = false;
    refusing.clear();
    pending.addAll(upstreams);
  }

  /** Handles the answer of an upstream. */
  Result answered(UpstreamIncarnation upstream, boolean accepted) {
    if (!pending.remove(upstream)) {
      return Result.NOT_SURVEYED;
    }
    reached |= accepted;
    failed += accepted ? 0 : 1;
    return pending.isEmpty() && !reached && failed >= MIN_FAILED ? Result.LOST : Result.OPEN;
  }

  /** Removes an upstream that is no longer listed. */
  void removed(UpstreamIncarnation upstream) {
    pending.remove(upstream);
  }

  /** Adds an upstream that refuses connections to this node, and for which no peer could tell. */
  void addRefusing(UpstreamIncarnation upstream) {
    refusing.add(upstream);
  }

  /**
   * Returns the upstreams that are proven to have ended, since another one was reached; each is
   * returned once.
   */
  ImmutableSet<UpstreamIncarnation> takeEnded() {
    if (!reached) {
      return ImmutableSet.of();
    }
    ImmutableSet<UpstreamIncarnation> ended = ImmutableSet.copyOf(refusing);
    refusing.clear();
    return ended;
  }
}
