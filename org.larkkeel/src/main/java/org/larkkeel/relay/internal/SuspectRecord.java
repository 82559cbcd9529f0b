/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.relay.CrashSuspect;
import org.larkkeel.relay.SuspectScope;

/**
 * What this node knows of one crash suspect.
 *
 * <p>Invariants: each incarnation counts once; at most {@link #MAX_CRASHES} crashes are kept, the
 * latest ones. Not thread-safe.
 */
final class SuspectRecord {
  private static final int MAX_CRASHES = 16;

  /** The difference between this node's retries of the suspect and those of others. */
  final long spreadNanos;

  private final Fingerprint id;
  private final Map<UpstreamIncarnation, CrashTime> crashes = new LinkedHashMap<>();
  private final Set<Fingerprint> wider = new LinkedHashSet<>();
  private SuspectScope scope;
  private int clearanceEpoch;
  private boolean detectedHere;
  private long changedAt;

  /**
   * The times of a crash.
   *
   * @param endedAt the earliest time at which the upstream is known to have ended
   * @param sentAt the latest time at which the suspect was sent to it
   * @param streamedNanos the longest time for which a stream of the suspect had run there; 0 before
   *     the first event
   */
  record CrashTime(long endedAt, long sentAt, long streamedNanos) {
    /** Returns the earlier end with the latest send before it, and the longer stream. */
    private CrashTime merge(CrashTime other) {
      CrashTime first = endedAt <= other.endedAt ? this : other;
      CrashTime second = first == this ? other : this;
      return new CrashTime(
          first.endedAt,
          second.sentAt > first.endedAt ? first.sentAt : Math.max(first.sentAt, second.sentAt),
          Math.max(streamedNanos, other.streamedNanos));
    }
  }

  SuspectRecord(long at, Fingerprint id, SuspectScope scope, long spreadNanos) {
    this.id = id;
    this.scope = scope;
    this.spreadNanos = spreadNanos;
    this.changedAt = at;
  }

  Fingerprint id() {
    return id;
  }

  SuspectScope scope() {
    return scope;
  }

  int clearanceEpoch() {
    return clearanceEpoch;
  }

  Map<UpstreamIncarnation, CrashTime> crashes() {
    return Collections.unmodifiableMap(crashes);
  }

  /** Returns the suspects of a wider scope that this one was seen with. */
  Set<Fingerprint> wider() {
    return Collections.unmodifiableSet(wider);
  }

  long changedAt() {
    return changedAt;
  }

  /** Sets the time of the last change to now, so that it is reported to other nodes again. */
  void touch(long at) {
    changedAt = at;
  }

  /** Returns the time of the last crash, or of the last change if there is none. */
  long lastCrashAt() {
    return crashes.values().stream().mapToLong(CrashTime::endedAt).max().orElse(changedAt);
  }

  /**
   * Returns whether this suspect is a narrower one whose crashes are all crashes of another.
   * Crashes that are too old for the other to keep do not matter.
   */
  boolean isWithin(SuspectRecord other) {
    return wider.contains(other.id)
        && crashes.entrySet().stream()
            .allMatch(
                c ->
                    other.crashes.containsKey(c.getKey())
                        || other.hasDropped(c.getValue().endedAt()));
  }

  private boolean hasDropped(long endedAt) {
    return crashes.size() == MAX_CRASHES
        && crashes.values().stream().allMatch(c -> c.endedAt() > endedAt);
  }

  /** Adds what is known of the suspect besides its crashes. */
  void describe(SuspectScope known, Iterable<Fingerprint> knownWider) {
    scope = scope.merge(known);
    for (Fingerprint f : knownWider) {
      if (wider.size() < CrashSuspect.MAX_WIDER) {
        wider.add(f);
      }
    }
  }

  /** Returns whether this node has detected a crash of the suspect since the last clearance. */
  boolean isDetectedHere() {
    return detectedHere;
  }

  /** Records that this node has detected a crash of the suspect. */
  void detectedHere() {
    detectedHere = true;
  }

  /** Adds a crash; returns whether its incarnation is new. */
  boolean addCrash(long at, UpstreamIncarnation incarnation, CrashTime time) {
    boolean isNew = !crashes.containsKey(incarnation);
    crashes.merge(incarnation, time, CrashTime::merge);
    if (crashes.size() > MAX_CRASHES) {
      crashes.entrySet().stream()
          .min(Map.Entry.comparingByValue((a, b) -> Long.compare(a.endedAt, b.endedAt)))
          .ifPresent(oldest -> crashes.remove(oldest.getKey()));
    }
    if (isNew) {
      changedAt = at;
    }
    return isNew;
  }

  /** Returns the crashes that may have the same cause, if the suspect is the cause. */
  Map<UpstreamIncarnation, CrashTime> alikeCrashes() {
    return StreamTimes.alike(crashes, CrashTime::streamedNanos);
  }

  /** Returns the longest time for which a stream of the suspect had run before such a crash. */
  long maxStreamedNanos() {
    return alikeCrashes().values().stream().mapToLong(CrashTime::streamedNanos).max().orElse(0);
  }

  /** Drops all crashes, as the suspect was proven harmless or released. */
  void startClearanceEpoch(long at, int epoch) {
    clearanceEpoch = epoch;
    crashes.clear();
    detectedHere = false;
    changedAt = at;
  }

  /** Returns the report for other nodes. */
  CrashSuspect toReport(long at) {
    ImmutableMap.Builder<UpstreamIncarnation, CrashSuspect.Crash> ages = ImmutableMap.builder();
    crashes.forEach(
        (incarnation, time) ->
            ages.put(
                incarnation,
                new CrashSuspect.Crash(
                    Math.max(0, at - time.endedAt),
                    Math.max(0, at - time.sentAt),
                    time.streamedNanos)));
    return new CrashSuspect(
        id, scope, clearanceEpoch, ages.buildOrThrow(), ImmutableSet.copyOf(wider));
  }
}
