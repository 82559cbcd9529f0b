/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.primitives.ImmutableLongArray;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.larkkeel.event.Event;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.UpstreamName;

/**
 * The read position in the cache events of one engine.
 *
 * <p>Invariant: each event of an incarnation is returned at most once and in order. A new
 * incarnation counts from 0 again. If its first response was requested after a sequence number of
 * the previous incarnation, it may lack events: it is dropped, and the next poll reads from 0. Safe
 * for use by several threads.
 */
final class CacheCursor {
  private static final int HEX_RADIX = 16;

  private long incarnation;
  private long lastSequence;

  /** Returns the last sequence number that was read; 0 if none was. */
  synchronized long lastSequence() {
    return lastSequence;
  }

  /** Returns the events of a response that were not read before, by ascending sequence number. */
  synchronized ImmutableList<Event> read(UpstreamName upstream, JsonNode body, long now) {
    long reportedIncarnation = body.path("incarnation").asLong();
    if (reportedIncarnation != incarnation) {
      boolean eventsSkipped = lastSequence > 0;
      incarnation = reportedIncarnation;
      lastSequence = 0;
      if (eventsSkipped) {
        return ImmutableList.of();
      }
    }
    List<JsonNode> sorted = new ArrayList<>();
    body.path("events").forEach(sorted::add);
    sorted.sort(Comparator.comparingLong(e -> e.path("seq").asLong()));
    ImmutableList.Builder<Event> events = ImmutableList.builder();
    for (JsonNode event : sorted) {
      long sequence = event.path("seq").asLong();
      if (sequence > lastSequence) {
        lastSequence = sequence;
        events.add(
            new Event.CacheChanged(
                now,
                upstream,
                new Incarnation(reportedIncarnation),
                sequence,
                keys(event.path("stored")),
                keys(event.path("removed"))));
      }
    }
    return events.build();
  }

  private static ImmutableLongArray keys(JsonNode hexKeys) {
    ImmutableLongArray.Builder keys = ImmutableLongArray.builder();
    for (JsonNode key : hexKeys) {
      try {
        keys.add(Long.parseUnsignedLong(key.asText(), HEX_RADIX));
      } catch (NumberFormatException e) {
        // Skips the invalid key; what it stands for is then not known to be cached.
      }
    }
    return keys.build();
  }
}
