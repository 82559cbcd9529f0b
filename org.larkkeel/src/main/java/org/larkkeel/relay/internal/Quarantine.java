/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.relay.CrashSuspect;
import org.larkkeel.relay.SuspectScope;

/**
 * The requests and parts of prompts that upstreams had when they crashed, and which of them are
 * quarantined.
 *
 * <p>{@link CrashVerdicts} decides from which crash on a suspect is quarantined; the time doubles
 * with each further one. Then it may be tried again; the nodes do so at different times, so that
 * usually only one of them tries. A complete answer to the suspect on any node clears it.
 *
 * <p>Invariants: each incarnation of an upstream counts once for a suspect, whoever reports it; at
 * most {@link #MAX_OF_SCOPE} suspects of a kind are kept, those with more crashes for longest. Not
 * thread-safe.
 */
final class Quarantine {
  /** The maximum number of requests, and that of parts of prompts. */
  static final int MAX_OF_SCOPE = 512;

  /** The number of crashes from which they are stored. */
  private static final int LASTING_CRASHES = CrashVerdicts.CRASHES - 1;

  private static final long SECOND = 1_000_000_000L;

  /** The duration of the quarantine after the first crashes that suffice. */
  static final long QUARANTINE_NANOS = 600 * SECOND;

  /** The quarantine on few events, such as the loss of several upstreams at once. */
  private static final long PROVISIONAL_NANOS = 60_000_000_000L;

  private static final int MAX_DOUBLINGS = 3;

  /** The maximum random difference between the times at which nodes try a suspect again. */
  private static final long MAX_SPREAD_NANOS = 60 * SECOND;

  /** The minimum time for which a crash counts towards the next. */
  private static final long MIN_RETENTION_NANOS = 600 * SECOND;

  /** The time for which a suspect with at most one crash is reported to other nodes. */
  private static final long REPORT_NANOS = 10 * SECOND;

  private final Map<Fingerprint, SuspectRecord> records = new HashMap<>();
  private final SplittableRandom random;

  /** The verdicts on all records; null if a record has changed since. */
  private ImmutableMap<Fingerprint, CrashVerdicts.Verdict> verdicts = ImmutableMap.of();

  Quarantine(SplittableRandom random) {
    this.random = random;
  }

  /** Returns whether no suspect is known. */
  boolean isEmpty() {
    return records.isEmpty();
  }

  /** Returns whether any suspect is or was quarantined, so that calls must be checked. */
  boolean hasVerdicts() {
    return !verdicts().isEmpty();
  }

  private ImmutableMap<Fingerprint, CrashVerdicts.Verdict> verdicts() {
    if (verdicts == null) {
      verdicts = CrashVerdicts.of(records.values());
    }
    return verdicts;
  }

  /** Returns the remaining quarantine of a suspect in nanoseconds; 0 if it is not quarantined. */
  long remainingNanos(long at, Fingerprint id) {
    CrashVerdicts.Verdict v = verdicts().get(id);
    if (v == null) {
      return 0;
    }
    return Math.max(0, v.lastCrashAt() + quarantineNanos(v) + records.get(id).spreadNanos - at);
  }

  /**
   * Returns the remaining quarantine of what a call has, as above. A node of an earlier build
   * reports a part of prompts as a request; the call tells what it is.
   */
  long remainingNanos(long at, CallTrait trait) {
    SuspectRecord r = records.get(trait.id());
    if (r != null && !r.scope().equals(r.scope().merge(trait.scope()))) {
      r.describe(trait.scope(), trait.wider());
      verdicts = null;
    }
    return remainingNanos(at, trait.id());
  }

  /** Returns the suspects that are quarantined. */
  ImmutableSet<Fingerprint> quarantined(long at) {
    return verdicts().keySet().stream()
        .filter(id -> remainingNanos(at, id) > 0)
        .collect(ImmutableSet.toImmutableSet());
  }

  /** Returns whether this node has detected a crash of a suspect. */
  boolean isDetectedHere(Fingerprint id) {
    SuspectRecord r = records.get(id);
    return r != null && r.isDetectedHere();
  }

  /**
   * Returns whether what is known of a suspect must outlast all nodes, as the next crash may bring
   * a verdict. Most suspects of a single crash never come again.
   */
  boolean mustOutlast(Fingerprint id) {
    return crashCount(id) >= LASTING_CRASHES;
  }

  /** Returns the number of crashes that count for a suspect. */
  int crashCount(Fingerprint id) {
    SuspectRecord r = records.get(id);
    return r == null ? 0 : r.crashes().size();
  }

  /**
   * Records that an incarnation of an upstream crashed while it had a suspect; returns whether that
   * is new.
   */
  boolean recordCrash(
      long at, CallTrait trait, UpstreamIncarnation incarnation, SuspectRecord.CrashTime time) {
    SuspectRecord r = getOrCreate(at, trait.id(), trait.scope());
    r.describe(trait.scope(), trait.wider());
    verdicts = null;
    r.detectedHere();
    return r.addCrash(at, incarnation, time);
  }

  /** Returns whether a report is older than a clearance that is known here. */
  boolean isOutdated(CrashSuspect report) {
    SuspectRecord known = records.get(report.id());
    return known != null && known.clearanceEpoch() > report.clearanceEpoch();
  }

  /**
   * Returns the longest time for which a stream of a reported suspect had run before the crashes
   * that may have the same cause, among those that are reported or known here.
   */
  long maxStreamedNanos(CrashSuspect report) {
    Map<UpstreamIncarnation, Long> streamed = new LinkedHashMap<>();
    SuspectRecord known = records.get(report.id());
    if (known != null && known.clearanceEpoch() == report.clearanceEpoch()) {
      known.crashes().forEach((incarnation, c) -> streamed.put(incarnation, c.streamedNanos()));
    }
    report
        .crashes()
        .forEach((incarnation, c) -> streamed.merge(incarnation, c.streamedNanos(), Math::max));
    return StreamTimes.alike(streamed, Long::longValue).values().stream()
        .mapToLong(Long::longValue)
        .max()
        .orElse(0);
  }

  /** Merges the report of another node. */
  void merge(long at, CrashSuspect report) {
    if (isOutdated(report)) {
      records.get(report.id()).touch(at);
      return;
    }
    if (!records.containsKey(report.id()) && isExpiredReport(report)) {
      return;
    }
    SuspectRecord r = getOrCreate(at, report.id(), report.scope());
    r.describe(report.scope(), report.wider());
    if (r.clearanceEpoch() < report.clearanceEpoch()) {
      r.startClearanceEpoch(at, report.clearanceEpoch());
    }
    report
        .crashes()
        .forEach(
            (incarnation, c) ->
                r.addCrash(
                    at,
                    incarnation,
                    new SuspectRecord.CrashTime(
                        at - c.ageNanos(), at - c.sentAgeNanos(), c.streamedNanos())));
    verdicts = null;
  }

  private static boolean isExpiredReport(CrashSuspect report) {
    return report.crashes().values().stream().mapToLong(CrashSuspect.Crash::ageNanos).min().stream()
        .anyMatch(lastAge -> isExpired(lastAge, report.crashes().size()));
  }

  /**
   * Clears a suspect that another node reports, since this node knows that it is harmless. The
   * clearance epoch is later than the one reported.
   */
  void refute(long at, CrashSuspect report) {
    SuspectRecord r = getOrCreate(at, report.id(), report.scope());
    r.startClearanceEpoch(at, Math.max(r.clearanceEpoch(), report.clearanceEpoch()) + 1);
    verdicts = null;
  }

  private static long quarantineNanos(CrashVerdicts.Verdict v) {
    return v.provisional() ? PROVISIONAL_NANOS : quarantineNanos(v.excess());
  }

  private static long quarantineNanos(int excess) {
    return QUARANTINE_NANOS << Math.min(excess, MAX_DOUBLINGS);
  }

  /** Returns whether crashes, the last of which is this old, no longer count. */
  private static boolean isExpired(long lastCrashAgeNanos, int crashes) {
    int excess = crashes - CrashVerdicts.CRASHES;
    long quarantine = excess < 0 ? 0 : quarantineNanos(excess);
    return lastCrashAgeNanos > 2 * (quarantine + MAX_SPREAD_NANOS) + MIN_RETENTION_NANOS;
  }

  private static boolean isExpired(long at, SuspectRecord r) {
    return isExpired(at - r.lastCrashAt(), r.crashes().size());
  }

  /** Clears a suspect; returns whether any crash counted against it. */
  boolean clear(long at, Fingerprint id) {
    SuspectRecord r = records.get(id);
    if (r == null || r.crashes().isEmpty()) {
      return false;
    }
    r.startClearanceEpoch(at, r.clearanceEpoch() + 1);
    verdicts = null;
    return true;
  }

  /**
   * Clears a part of prompts if a stream of the given duration proves it harmless; returns whether
   * any crash counted against it.
   */
  boolean clearIfOutlived(long at, Fingerprint part, long streamedNanos) {
    SuspectRecord r = records.get(part);
    return r != null
        && HarmlessParts.outlives(streamedNanos, r.maxStreamedNanos())
        && clear(at, part);
  }

  private SuspectRecord getOrCreate(long at, Fingerprint id, SuspectScope scope) {
    SuspectRecord r = records.get(id);
    if (r == null) {
      evictOne(at, scope);
      r = new SuspectRecord(at, id, scope, random.nextLong(MAX_SPREAD_NANOS));
      records.put(id, r);
    }
    return r;
  }

  /**
   * Makes space for another suspect of a kind by dropping the expired ones, or else the one with
   * the fewest and oldest crashes.
   */
  private void evictOne(long at, SuspectScope scope) {
    removeExpired(at);
    Class<?> kind = scope.getClass();
    if (records.values().stream().filter(r -> kind.isInstance(r.scope())).count() < MAX_OF_SCOPE) {
      return;
    }
    records.values().stream()
        .filter(r -> kind.isInstance(r.scope()))
        .min(
            Comparator.comparingInt((SuspectRecord r) -> r.crashes().size())
                .thenComparingLong(SuspectRecord::lastCrashAt))
        .ifPresent(r -> records.remove(r.id()));
    verdicts = null;
  }

  private void removeExpired(long at) {
    if (records.values().removeIf(r -> isExpired(at, r))) {
      verdicts = null;
    }
  }

  /** Returns the report on a suspect; empty if it is not known. */
  Optional<CrashSuspect> find(long at, Fingerprint id) {
    return Optional.ofNullable(records.get(id)).map(r -> r.toReport(at));
  }

  /**
   * Returns the reports for other nodes, the narrowest first, so that whoever merges them in this
   * order knows what explains the crashes of a wider suspect before.
   */
  ImmutableList<CrashSuspect> reports(long at) {
    if (records.isEmpty()) {
      return ImmutableList.of();
    }
    removeExpired(at);
    return records.values().stream()
        .filter(r -> r.crashes().size() > 1 || at - r.changedAt() < REPORT_NANOS)
        .sorted(
            Comparator.comparingInt((SuspectRecord r) -> -r.scope().narrowness())
                .thenComparingInt(r -> -r.crashes().size()))
        .map(r -> r.toReport(at))
        .collect(ImmutableList.toImmutableList());
  }
}
