/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.larkkeel.relay.BuildName;
import org.larkkeel.relay.StreamLookup;

/**
 * The builds of a service that are listed, and those that were within the life of a stream.
 *
 * <p>A node knows the builds of the past only as far as it has followed the list, or has read their
 * history from the store. Invariant: a build that is not recorded in the store begins no stream
 * here while another one can, unless the store does not answer in time. Not thread-safe.
 */
final class ServedBuilds {
  private final long lifeNanos;
  private final long missingNanos;
  private long followedSince;
  private Set<BuildName> listed = Set.of();

  /** The times from which builds that have left begin no more streams. */
  private final Map<BuildName, Long> endedAt = new HashMap<>();

  /** The builds that are not known to be recorded in the store. */
  private final Set<BuildName> unrecorded = new HashSet<>();

  /** Whether there is an upstream of a recorded build that can begin streams instead. */
  private boolean recordedIsUsable;

  /**
   * Creates an instance that knows no build.
   *
   * @param at now
   * @param lifeNanos the time for which a stream can be taken up
   * @param missingNanos the time for which an upstream begins streams after it has left the list
   */
  ServedBuilds(long at, long lifeNanos, long missingNanos) {
    this.followedSince = at;
    this.lifeNanos = lifeNanos;
    this.missingNanos = missingNanos;
  }

  /** Returns whether just these builds are listed. */
  boolean isListed(Set<BuildName> builds) {
    return listed.equals(builds);
  }

  /** Records that builds may have come and gone unseen. */
  void gap(long at) {
    followedSince = at;
  }

  /**
   * Replaces the listed builds.
   *
   * @param at now
   * @param now the listed builds
   * @param usable those of them of which an upstream is not leaving
   * @return the builds that have appeared beside or after others, and are not recorded yet
   */
  ImmutableSet<BuildName> update(long at, Set<BuildName> now, Set<BuildName> usable) {
    Set<BuildName> known = all(at);
    for (BuildName build : listed) {
      if (!now.contains(build)) {
        endedAt.put(build, at + missingNanos);
      }
    }
    ImmutableSet.Builder<BuildName> added = ImmutableSet.builder();
    if (!known.isEmpty()) {
      now.stream().filter(b -> !known.contains(b)).forEach(added::add);
    }
    listed = now;
    ImmutableSet<BuildName> result = added.build();
    unrecorded.addAll(result);
    recordedIsUsable = usable.stream().anyMatch(b -> !unrecorded.contains(b));
    return result;
  }

  /** Adds what the store tells of the builds that have served until now. */
  void remember(long at, Set<BuildName> builds) {
    builds.stream().filter(b -> !listed.contains(b)).forEach(b -> endedAt.put(b, at));
    followedSince = Math.min(followedSince, at - lifeNanos - 1);
  }

  /** Handles that builds were recorded in the store; returns whether this matters. */
  boolean recorded(Set<BuildName> builds) {
    return unrecorded.removeAll(builds);
  }

  /** Allows all builds, as the store has not answered in time; returns whether this matters. */
  boolean allowUnrecorded() {
    boolean changes = !unrecorded.isEmpty();
    unrecorded.clear();
    return changes;
  }

  /** Returns whether some build may not begin streams yet. */
  boolean withholdsSome() {
    return recordedIsUsable && !unrecorded.isEmpty();
  }

  /** Returns whether a build may begin streams. */
  boolean mayBegin(BuildName build) {
    return !recordedIsUsable || !unrecorded.contains(build);
  }

  /** Returns the builds that have served within the life of a stream. */
  ImmutableSet<BuildName> all(long at) {
    endedAt.values().removeIf(ended -> at - ended > lifeNanos);
    return ImmutableSet.<BuildName>builder().addAll(listed).addAll(endedAt.keySet()).build();
  }

  /** Returns whether no other build can have served within the life of a stream. */
  boolean isComplete(long at) {
    return at - followedSince > lifeNanos;
  }

  /** Returns for how long the builds are known. */
  long followedNanos(long at) {
    return at - followedSince;
  }

  /** Returns what the builds tell of a stream that is not known. */
  StreamLookup lookup(long at) {
    Set<BuildName> all = all(at);
    if (all.size() != 1) {
      return new StreamLookup.Unknown();
    }
    BuildName build = all.iterator().next();
    return build.equals(BuildName.UNKNOWN) || isComplete(at)
        ? new StreamLookup.Sole(build)
        : new StreamLookup.Listed(build);
  }
}
