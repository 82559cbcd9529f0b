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
 * How far the cache events of one engine were read.
 *
 * <p>Invariant: each event of an incarnation is given out at most once and in order. A new
 * incarnation counts from 0 again, so the first answer of one is read anew from its beginning. Safe
 * for use by several threads.
 */
final class CacheCursor {
  private static final int HEX = 16;

  private long incarnation;
  private long after;

  /** The last sequence number that was read. */
  synchronized long after() {
    return after;
  }

  synchronized ImmutableList<Event> read(UpstreamName upstream, JsonNode body, long now) {
    long start = body.path("incarnation").asLong();
    if (start != incarnation) {
      boolean skipped = after > 0;
      incarnation = start;
      after = 0;
      if (skipped) {
        return ImmutableList.of();
      }
    }
    List<JsonNode> sorted = new ArrayList<>();
    body.path("events").forEach(sorted::add);
    sorted.sort(Comparator.comparingLong(e -> e.path("seq").asLong()));
    ImmutableList.Builder<Event> events = ImmutableList.builder();
    for (JsonNode event : sorted) {
      long sequence = event.path("seq").asLong();
      if (sequence > after) {
        after = sequence;
        events.add(
            new Event.CacheChanged(
                now,
                upstream,
                new Incarnation(start),
                sequence,
                keys(event.path("stored")),
                keys(event.path("removed"))));
      }
    }
    return events.build();
  }

  private static ImmutableLongArray keys(JsonNode hex) {
    ImmutableLongArray.Builder keys = ImmutableLongArray.builder();
    for (JsonNode key : hex) {
      try {
        keys.add(Long.parseUnsignedLong(key.asText(), HEX));
      } catch (NumberFormatException e) {
        // Not a key; what it stood for is just not known to be cached.
      }
    }
    return keys.build();
  }
}
