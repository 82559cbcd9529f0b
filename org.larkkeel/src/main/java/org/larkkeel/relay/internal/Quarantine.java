/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.relay.RequestIdentity;
import org.larkkeel.relay.SuspectRequest;

/**
 * The requests that upstreams had when they crashed, and which of them are quarantined.
 *
 * <p>A request is quarantined from the third crash on, for a time that doubles with each further
 * one. Then it may be tried again; the nodes do so at different times, so that usually only one of
 * them tries. A complete answer to the request on any node clears it.
 *
 * <p>Invariants: each incarnation of an upstream counts once for a request, whoever reports it; at
 * most {@link #MAX_REQUESTS} requests are kept, those with more crashes for longest. Not
 * thread-safe.
 */
final class Quarantine {
  static final int MAX_REQUESTS = 512;
  private static final long SECOND = 1_000_000_000L;

  /** The duration of the quarantine after the third crash. */
  static final long QUARANTINE_NANOS = 600 * SECOND;

  private static final int MAX_DOUBLINGS = 3;

  /** The maximum random difference between the times at which nodes try a request again. */
  private static final long MAX_SPREAD_NANOS = 60 * SECOND;

  /** The minimum time for which a crash counts towards the next. */
  private static final long MIN_RETENTION_NANOS = 600 * SECOND;

  /** The time for which a request with at most one crash is reported to other nodes. */
  private static final long REPORT_NANOS = 10 * SECOND;

  private static final int MAX_CRASHES = 8;

  private final Map<Fingerprint, Entry> entries = new HashMap<>();
  private final SplittableRandom random;

  /** The known crashes of one request. */
  private static final class Entry {
    private final Map<UpstreamIncarnation, Long> crashes = new LinkedHashMap<>();
    private final long spreadNanos;
    private int clearanceEpoch;
    private long changedAt;

    Entry(long spreadNanos) {
      this.spreadNanos = spreadNanos;
    }

    private long lastCrashAt() {
      return crashes.isEmpty() ? changedAt : Collections.max(crashes.values());
    }

    private long quarantineNanos() {
      long base = Quarantine.quarantineNanos(crashes.size());
      return base == 0 ? 0 : base + spreadNanos;
    }

    private long remainingNanos(long at) {
      return Math.max(0, lastCrashAt() + quarantineNanos() - at);
    }

    private boolean isExpired(long at) {
      return Quarantine.isExpired(at - lastCrashAt(), crashes.size());
    }

    private boolean shouldReport(long at) {
      return crashes.size() > 1 || at - changedAt < REPORT_NANOS;
    }
  }

  Quarantine(SplittableRandom random) {
    this.random = random;
  }

  /** Returns the remaining quarantine of a request in nanoseconds; 0 if it is not quarantined. */
  long remainingNanos(long at, RequestIdentity request) {
    return entries.isEmpty() ? 0 : remainingNanos(at, request.fingerprint());
  }

  /**
   * Returns the remaining quarantine of the request with a fingerprint in nanoseconds; 0 if it is
   * not quarantined.
   */
  long remainingNanos(long at, Fingerprint request) {
    Entry e = entries.get(request);
    return e == null ? 0 : e.remainingNanos(at);
  }

  /** Returns the number of crashes that count for a request. */
  int crashCount(Fingerprint request) {
    Entry e = entries.get(request);
    return e == null ? 0 : e.crashes.size();
  }

  /**
   * Records that an incarnation of an upstream crashed while it had a request; returns whether that
   * is new.
   */
  boolean recordCrash(long at, Fingerprint request, UpstreamIncarnation incarnation) {
    Entry e = getOrCreate(at, request);
    return addCrash(e, incarnation, at, at);
  }

  private static boolean addCrash(
      Entry e, UpstreamIncarnation incarnation, long crashedAt, long now) {
    Long known = e.crashes.get(incarnation);
    if (known != null) {
      e.crashes.put(incarnation, Math.min(known, crashedAt));
      return false;
    }
    e.crashes.put(incarnation, crashedAt);
    if (e.crashes.size() > MAX_CRASHES) {
      Map.Entry<UpstreamIncarnation, Long> oldest =
          Collections.min(e.crashes.entrySet(), Map.Entry.comparingByValue());
      e.crashes.remove(oldest.getKey());
    }
    e.changedAt = now;
    return true;
  }

  /**
   * Merges the report of another node.
   *
   * @return whether the report has put the request into quarantine
   */
  boolean merge(long at, SuspectRequest report) {
    Entry known = entries.get(report.request());
    if (known != null && known.clearanceEpoch > report.clearanceEpoch()) {
      // A node that reports an earlier clearance epoch has not received this one, so report it
      // again.
      known.changedAt = at;
      return false;
    }
    if (known == null && isExpiredReport(report)) {
      return false;
    }
    boolean wasQuarantined = remainingNanos(at, report.request()) > 0;
    Entry e = getOrCreate(at, report.request());
    if (e.clearanceEpoch < report.clearanceEpoch()) {
      startClearanceEpoch(at, e, report.clearanceEpoch());
    }
    report.crashes().forEach((incarnation, age) -> addCrash(e, incarnation, at - age, at));
    return !wasQuarantined && e.remainingNanos(at) > 0;
  }

  private static boolean isExpiredReport(SuspectRequest report) {
    return !report.crashes().isEmpty()
        && isExpired(Collections.min(report.crashes().values()), report.crashes().size());
  }

  private static long quarantineNanos(int crashes) {
    int doublings = Math.min(crashes - SuspectRequest.CRASHES_TO_QUARANTINE, MAX_DOUBLINGS);
    return doublings < 0 ? 0 : QUARANTINE_NANOS << doublings;
  }

  /** Returns whether crashes, the last of which is this old, no longer count. */
  private static boolean isExpired(long lastCrashAgeNanos, int crashes) {
    return lastCrashAgeNanos
        > 2 * (quarantineNanos(crashes) + MAX_SPREAD_NANOS) + MIN_RETENTION_NANOS;
  }

  /** Clears a request; returns whether any crash counted against it. */
  boolean clear(long at, Fingerprint request) {
    Entry e = entries.get(request);
    if (e == null || e.crashes.isEmpty()) {
      return false;
    }
    startClearanceEpoch(at, e, e.clearanceEpoch + 1);
    return true;
  }

  /** Clears a request; computes its fingerprint only if any request is known. */
  boolean clear(long at, RequestIdentity request) {
    return !entries.isEmpty() && clear(at, request.fingerprint());
  }

  private static void startClearanceEpoch(long at, Entry e, int epoch) {
    e.clearanceEpoch = epoch;
    e.crashes.clear();
    e.changedAt = at;
  }

  private Entry getOrCreate(long at, Fingerprint request) {
    Entry e = entries.get(request);
    if (e == null) {
      evictOne(at);
      e = new Entry(random.nextLong(MAX_SPREAD_NANOS));
      e.changedAt = at;
      entries.put(request, e);
    }
    return e;
  }

  /**
   * Makes space for another entry by dropping the expired ones, or else the one with the fewest and
   * oldest crashes.
   */
  private void evictOne(long at) {
    entries.values().removeIf(e -> e.isExpired(at));
    if (entries.size() < MAX_REQUESTS) {
      return;
    }
    entries.entrySet().stream()
        .min(
            Comparator.comparingInt(
                    (Map.Entry<Fingerprint, Entry> e) -> e.getValue().crashes.size())
                .thenComparingLong(e -> e.getValue().lastCrashAt()))
        .ifPresent(e -> entries.remove(e.getKey()));
  }

  /** Returns the report on a request; empty if the request is not known. */
  Optional<SuspectRequest> find(long at, Fingerprint request) {
    return Optional.ofNullable(entries.get(request)).map(e -> toReport(at, request, e));
  }

  /** Returns the reports for other nodes, those with the most crashes first. */
  ImmutableList<SuspectRequest> reports(long at) {
    if (entries.isEmpty()) {
      return ImmutableList.of();
    }
    for (Iterator<Entry> i = entries.values().iterator(); i.hasNext(); ) {
      if (i.next().isExpired(at)) {
        i.remove();
      }
    }
    return entries.entrySet().stream()
        .filter(e -> e.getValue().shouldReport(at))
        .sorted(Comparator.comparingInt(e -> -e.getValue().crashes.size()))
        .map(e -> toReport(at, e.getKey(), e.getValue()))
        .collect(ImmutableList.toImmutableList());
  }

  private static SuspectRequest toReport(long at, Fingerprint request, Entry e) {
    ImmutableMap.Builder<UpstreamIncarnation, Long> ages = ImmutableMap.builder();
    e.crashes.forEach(
        (incarnation, crashedAt) -> ages.put(incarnation, Math.max(0, at - crashedAt)));
    return new SuspectRequest(request, e.clearanceEpoch, ages.buildOrThrow());
  }
}
