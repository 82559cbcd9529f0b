/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.relay.CrashSuspect;
import org.larkkeel.relay.SuspectScope;
import org.larkkeel.store.EntryProblem;
import org.larkkeel.store.EntryProblem.Reason;
import org.larkkeel.store.ParseResult;

/**
 * The quarantined requests and parts of prompts that a node has detected, as stored in its entry in
 * the store.
 *
 * <p>Crashes are stored with wall-clock times, because their ages must outlast the process.
 * Invariant: at most {@link #MAX_REQUESTS} requests. Not thread-safe.
 */
final class QuarantineEntries {
  static final String FIELD = "quarantine";
  static final int MAX_REQUESTS = 64;

  /** The age from which stored crashes are ignored; it exceeds the duration of any quarantine. */
  private static final long MAX_AGE_NANOS = TimeUnit.HOURS.toNanos(3);

  /** The minimum number of crashes for a quarantine. */
  private static final int MIN_CRASHES_OF_VERDICT = 3;

  /** The fingerprint of the request or part. */
  private static final String REQUEST = "request";

  private static final String EPOCH = "epoch";
  private static final String ENDS = "ends";
  private static final String UPSTREAM = "upstream";
  private static final String START = "start";
  private static final String AT = "atMillis";
  private static final String SENT = "sentMillis";

  /** The duration of the stream that ended with the crash; absent before the first event. */
  private static final String STREAMED = "streamedMillis";

  private static final String POSITION = "promptPosition";
  private static final String WIDER = "wider";

  /** In order of their last change. */
  private final Map<Fingerprint, StoredSuspect> entries = new LinkedHashMap<>();

  private record StoredSuspect(CrashSuspect suspect, long wallMillis) {}

  /**
   * Updates the known state of a suspect. One that need not last any more is kept only if it was
   * cleared, so that the clearance is known to nodes that start later.
   *
   * @param isLasting whether the crashes or the clearance must outlast all nodes
   * @return whether the node's entry must be written
   */
  boolean update(CrashSuspect suspect, boolean isLasting, long wallMillis) {
    boolean wasStored = entries.remove(suspect.id()) != null;
    if (!isLasting && (!wasStored || !suspect.crashes().isEmpty())) {
      return wasStored;
    }
    if (entries.size() == MAX_REQUESTS) {
      entries.remove(leastTelling());
    }
    entries.put(suspect.id(), new StoredSuspect(suspect, wallMillis));
    return true;
  }

  /** Returns the oldest suspect of too few crashes for a verdict, or else the oldest of all. */
  private Fingerprint leastTelling() {
    return entries.values().stream()
        .map(StoredSuspect::suspect)
        .filter(s -> !s.crashes().isEmpty() && s.crashes().size() < MIN_CRASHES_OF_VERDICT)
        .findFirst()
        .map(CrashSuspect::id)
        .orElseGet(() -> entries.keySet().iterator().next());
  }

  /** Adds a suspect read from the node's stored entry, unless the request is known already. */
  void restore(CrashSuspect suspect, long wallMillis) {
    boolean isOld =
        !suspect.crashes().isEmpty()
            && suspect.crashes().values().stream().allMatch(c -> c.ageNanos() > MAX_AGE_NANOS);
    if (entries.size() < MAX_REQUESTS && !isOld) {
      entries.putIfAbsent(suspect.id(), new StoredSuspect(suspect, wallMillis));
    }
  }

  /** Writes all requests into a node's entry. */
  void write(ObjectNode entry) {
    if (entries.isEmpty()) {
      return;
    }
    ArrayNode all = entry.putArray(FIELD);
    for (StoredSuspect stored : entries.values()) {
      ObjectNode item = all.addObject();
      CrashSuspect suspect = stored.suspect();
      item.put(REQUEST, suspect.id().toString()).put(EPOCH, suspect.clearanceEpoch());
      if (suspect.scope() instanceof SuspectScope.PromptPart p) {
        item.put(POSITION, p.position());
      }
      if (!suspect.wider().isEmpty()) {
        ArrayNode wider = item.putArray(WIDER);
        suspect.wider().forEach(f -> wider.add(f.toString()));
      }
      ArrayNode ends = item.putArray(ENDS);
      suspect
          .crashes()
          .forEach(
              (incarnation, c) -> {
                ObjectNode end =
                    ends.addObject()
                        .put(UPSTREAM, incarnation.name().value())
                        .put(START, incarnation.incarnation().value())
                        .put(AT, wallTime(stored, c.ageNanos()))
                        .put(SENT, wallTime(stored, c.sentAgeNanos()));
                if (c.streamedNanos() > 0) {
                  end.put(STREAMED, TimeUnit.NANOSECONDS.toMillis(c.streamedNanos()));
                }
              });
    }
  }

  private static long wallTime(StoredSuspect stored, long ageNanos) {
    return stored.wallMillis() - TimeUnit.NANOSECONDS.toMillis(ageNanos);
  }

  /** Reads the requests of an entry, which may come from another writer and be malformed. */
  static ParseResult<ImmutableList<CrashSuspect>> read(JsonNode entry, long wallMillis) {
    JsonNode all = entry.path(FIELD);
    if (all.isMissingNode()) {
      return new ParseResult.Readable<>(ImmutableList.of());
    }
    if (!all.isArray() || all.size() > MAX_REQUESTS) {
      return unreadable(all);
    }
    ImmutableList.Builder<CrashSuspect> suspects = ImmutableList.builder();
    try {
      for (JsonNode item : all) {
        suspects.add(suspect(item, wallMillis));
      }
    } catch (IllegalArgumentException e) {
      return unreadable(all);
    }
    return new ParseResult.Readable<>(suspects.build());
  }

  private static CrashSuspect suspect(JsonNode item, long wallMillis) {
    ImmutableMap.Builder<UpstreamIncarnation, CrashSuspect.Crash> ends = ImmutableMap.builder();
    for (JsonNode end : item.path(ENDS)) {
      UpstreamName name = new UpstreamName(end.path(UPSTREAM).asText());
      JsonNode sent = end.has(SENT) ? end.path(SENT) : end.path(AT);
      ends.put(
          new UpstreamIncarnation(name, new Incarnation(integer(end.path(START)))),
          new CrashSuspect.Crash(
              ageNanos(wallMillis, end.path(AT)),
              ageNanos(wallMillis, sent),
              end.has(STREAMED) ? TimeUnit.MILLISECONDS.toNanos(integer(end.path(STREAMED))) : 0));
    }
    SuspectScope scope =
        item.has(POSITION)
            ? new SuspectScope.PromptPart((int) integer(item.path(POSITION)))
            : SuspectScope.REQUEST;
    ImmutableSet.Builder<Fingerprint> wider = ImmutableSet.builder();
    item.path(WIDER).forEach(f -> wider.add(Fingerprint.parse(f.asText())));
    return new CrashSuspect(
        Fingerprint.parse(item.path(REQUEST).asText()),
        scope,
        (int) integer(item.path(EPOCH)),
        ends.buildKeepingLast(),
        wider.build());
  }

  private static long ageNanos(long wallMillis, JsonNode time) {
    return TimeUnit.MILLISECONDS.toNanos(Math.max(0, wallMillis - integer(time)));
  }

  private static long integer(JsonNode number) {
    if (!number.canConvertToLong() || !number.isIntegralNumber()) {
      throw new IllegalArgumentException(number + " is not an integer of 64 bits");
    }
    return number.longValue();
  }

  private static ParseResult<ImmutableList<CrashSuspect>> unreadable(JsonNode found) {
    return new ParseResult.Unreadable<>(
        new EntryProblem(Reason.MALFORMED, FIELD, found.toString(), "requests with their ends"));
  }
}
