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
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.relay.SuspectRequest;
import org.larkkeel.store.EntryProblem;
import org.larkkeel.store.EntryProblem.Reason;
import org.larkkeel.store.ParseResult;

/**
 * The quarantined requests that a node has detected, as stored in its entry in the store.
 *
 * <p>Crashes are stored with wall-clock times, because their ages must outlast the process.
 * Invariant: at most {@link #MAX_REQUESTS} requests. Not thread-safe.
 */
final class QuarantineEntries {
  static final String FIELD = "quarantine";
  static final int MAX_REQUESTS = 64;

  /** The age from which stored crashes are ignored; it exceeds the duration of any quarantine. */
  private static final long MAX_AGE_NANOS = TimeUnit.HOURS.toNanos(3);

  private static final String REQUEST = "request";
  private static final String EPOCH = "epoch";
  private static final String ENDS = "ends";
  private static final String UPSTREAM = "upstream";
  private static final String START = "start";
  private static final String AT = "atMillis";

  /** In order of their last change. */
  private final Map<Fingerprint, StoredSuspect> entries = new LinkedHashMap<>();

  private record StoredSuspect(SuspectRequest suspect, long wallMillis) {}

  /**
   * Updates the known state of a request.
   *
   * @return whether the node's entry must be written
   */
  boolean update(SuspectRequest suspect, long wallMillis) {
    if (!suspect.isQuarantined() && !entries.containsKey(suspect.request())) {
      return false;
    }
    entries.remove(suspect.request());
    if (entries.size() == MAX_REQUESTS) {
      entries.remove(entries.keySet().iterator().next());
    }
    entries.put(suspect.request(), new StoredSuspect(suspect, wallMillis));
    return true;
  }

  /** Adds a suspect read from the node's stored entry, unless the request is known already. */
  void restore(SuspectRequest suspect, long wallMillis) {
    boolean isOld = suspect.crashes().values().stream().allMatch(age -> age > MAX_AGE_NANOS);
    if (entries.size() < MAX_REQUESTS && !isOld) {
      entries.putIfAbsent(suspect.request(), new StoredSuspect(suspect, wallMillis));
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
      item.put(REQUEST, stored.suspect().request().toString())
          .put(EPOCH, stored.suspect().clearanceEpoch());
      ArrayNode ends = item.putArray(ENDS);
      stored
          .suspect()
          .crashes()
          .forEach(
              (incarnation, age) ->
                  ends.addObject()
                      .put(UPSTREAM, incarnation.name().value())
                      .put(START, incarnation.incarnation().value())
                      .put(AT, stored.wallMillis() - TimeUnit.NANOSECONDS.toMillis(age)));
    }
  }

  /** Reads the requests of an entry, which may come from another writer and be malformed. */
  static ParseResult<ImmutableList<SuspectRequest>> read(JsonNode entry, long wallMillis) {
    JsonNode all = entry.path(FIELD);
    if (all.isMissingNode()) {
      return new ParseResult.Readable<>(ImmutableList.of());
    }
    if (!all.isArray() || all.size() > MAX_REQUESTS) {
      return unreadable(all);
    }
    ImmutableList.Builder<SuspectRequest> suspects = ImmutableList.builder();
    try {
      for (JsonNode item : all) {
        suspects.add(suspect(item, wallMillis));
      }
    } catch (IllegalArgumentException e) {
      return unreadable(all);
    }
    return new ParseResult.Readable<>(suspects.build());
  }

  private static SuspectRequest suspect(JsonNode item, long wallMillis) {
    ImmutableMap.Builder<UpstreamIncarnation, Long> ends = ImmutableMap.builder();
    for (JsonNode end : item.path(ENDS)) {
      UpstreamName name = new UpstreamName(end.path(UPSTREAM).asText());
      long age = Math.max(0, wallMillis - integer(end.path(AT)));
      ends.put(
          new UpstreamIncarnation(name, new Incarnation(integer(end.path(START)))),
          TimeUnit.MILLISECONDS.toNanos(age));
    }
    Fingerprint request = Fingerprint.parse(item.path(REQUEST).asText());
    return new SuspectRequest(request, (int) integer(item.path(EPOCH)), ends.buildKeepingLast());
  }

  private static long integer(JsonNode number) {
    if (!number.canConvertToLong() || !number.isIntegralNumber()) {
      throw new IllegalArgumentException(number + " is not an integer of 64 bits");
    }
    return number.longValue();
  }

  private static ParseResult<ImmutableList<SuspectRequest>> unreadable(JsonNode found) {
    return new ParseResult.Unreadable<>(
        new EntryProblem(Reason.MALFORMED, FIELD, found.toString(), "requests with their ends"));
  }
}
