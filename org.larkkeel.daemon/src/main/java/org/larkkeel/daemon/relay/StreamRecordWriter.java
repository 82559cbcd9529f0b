/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.larkkeel.lib.HostName;
import org.larkkeel.relay.StreamBuild;
import org.larkkeel.relay.StreamId;
import org.larkkeel.store.ObjectApi;
import org.larkkeel.store.ObjectApiException;
import org.larkkeel.store.ObjectApiFailure;
import org.larkkeel.store.ObjectKey;
import org.larkkeel.store.ParseResult;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.StoreVersion;
import org.larkkeel.store.StoredObject;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores the builds of streams, in batches, so that they outlast the end of all nodes.
 *
 * <p>The objects of a node form a ring: each holds the streams of a period, and is overwritten by
 * the one that comes a round later, when its streams can no longer be taken up. A node that starts
 * again within a period adds to its object. A step of the clock may overwrite one sooner; its
 * streams are unknown then, and are refused.
 *
 * <p>Invariants: one write is in progress at a time, at most one begins per {@link
 * #WRITE_INTERVAL}; at most {@link #MAX_STREAMS} streams wait. Runs on the scheduler.
 */
final class StreamRecordWriter {
  private static final Logger log = LoggerFactory.getLogger(StreamRecordWriter.class);

  /** The time in which streams are gathered before the first write. */
  private static final Duration GATHERING_TIME = Duration.ofMillis(30);

  private static final Duration WRITE_INTERVAL = Duration.ofMillis(250);
  private static final Duration RETRY_DELAY = Duration.ofMillis(500);
  private static final long PERIOD_MILLIS = 2_000;

  /** The number of objects; a round of them is longer than a stream can be taken up. */
  private static final int RING_SIZE = 17;

  /** The field with the number of the period, which tells an object of an earlier round. */
  private static final String PERIOD_NUMBER = "period";

  private static final int MAX_STREAMS = 5_000;

  private final ObjectApi store;
  private final Scheduler scheduler;
  private final HostName self;
  private final Map<StreamId, StreamBuild> waiting = new LinkedHashMap<>();
  private Slot slot = new Slot(-1, null);
  private boolean scheduled;
  private long notBeforeNanos;

  /** An object of the ring. */
  private static final class Slot {
    final long number;
    final ObjectKey key;
    final Map<StreamId, StreamBuild> streams = new LinkedHashMap<>();
    Optional<StoreVersion> version = Optional.empty();

    Slot(long number, ObjectKey key) {
      this.number = number;
      this.key = key;
    }

    ObjectNode toJson() {
      return StreamEntry.Streams.toJson(streams.values()).put(PERIOD_NUMBER, number);
    }

    /** Adds what this node stored of the same period before it started again. */
    void addFrom(StoredObject present) {
      JsonNode period = present.spec().path(PERIOD_NUMBER);
      if (period.isIntegralNumber()
          && period.longValue() == number
          && StreamEntry.parse(present.spec()) instanceof ParseResult.Readable<StreamEntry> r
          && r.value() instanceof StreamEntry.Streams earlier) {
        earlier.streams().forEach(b -> streams.putIfAbsent(b.stream(), b));
      }
    }
  }

  StreamRecordWriter(ObjectApi store, Scheduler scheduler, HostName self) {
    this.store = store;
    this.scheduler = scheduler;
    this.self = self;
    this.notBeforeNanos = scheduler.nanoTime();
  }

  /** Stores a stream with the next batch. */
  void add(StreamBuild stream) {
    if (waiting.size() < MAX_STREAMS) {
      waiting.put(stream.stream(), stream);
    }
    scheduleWrite(GATHERING_TIME);
  }

  private void scheduleWrite(Duration minDelay) {
    if (!scheduled) {
      scheduled = true;
      Duration delay = Duration.ofNanos(Math.max(0, notBeforeNanos - scheduler.nanoTime()));
      scheduler.schedule(delay.compareTo(minDelay) > 0 ? delay : minDelay, this::write);
    }
  }

  private void write() {
    notBeforeNanos = scheduler.nanoTime() + WRITE_INTERVAL.toNanos();
    long number = scheduler.wallMillis() / PERIOD_MILLIS;
    if (number != slot.number) {
      String name = "streams-" + self.value() + "-" + Math.floorMod(number, RING_SIZE);
      slot = new Slot(number, new ObjectKey(StreamEntry.COLLECTION, name));
    }
    final Slot written = slot;
    final List<StreamBuild> batch = new ArrayList<>(waiting.values());
    waiting.clear();
    batch.forEach(s -> written.streams.put(s.stream(), s));
    put(written, batch);
  }

  private void put(Slot s, List<StreamBuild> batch) {
    if (s.version.isPresent()) {
      store
          .update(s.key, StreamEntry.COLLECTION, s.toJson(), s.version.get())
          .whenComplete((made, failure) -> written(s, batch, made, failure));
    } else {
      store
          .create(s.key, StreamEntry.COLLECTION, s.toJson())
          .whenComplete((made, failure) -> written(s, batch, made, failure));
    }
  }

  private void written(Slot s, List<StreamBuild> batch, StoredObject made, Throwable failure) {
    if (failure == null) {
      s.version = Optional.of(made.resourceVersion());
      scheduled = false;
      if (!waiting.isEmpty()) {
        scheduleWrite(Duration.ZERO);
      }
    } else if (isConflict(failure)) {
      store.get(s.key).whenComplete((present, f) -> found(s, batch, present, f));
    } else {
      failed(s, batch, failure);
    }
  }

  private void found(Slot s, List<StreamBuild> batch, StoredObject present, Throwable failure) {
    if (failure != null) {
      failed(s, batch, failure);
    } else {
      s.version = Optional.of(present.resourceVersion());
      s.addFrom(present);
      put(s, batch);
    }
  }

  private void failed(Slot s, List<StreamBuild> batch, Throwable failure) {
    log.debug("event=streams_not_recorded object={} cause=\"{}\"", s.key, failure.getMessage());
    s.version = Optional.empty();
    scheduled = false;
    for (StreamBuild b : batch) {
      if (waiting.size() < MAX_STREAMS) {
        waiting.putIfAbsent(b.stream(), b);
      }
    }
    scheduleWrite(RETRY_DELAY);
  }

  private static boolean isConflict(Throwable failure) {
    return ObjectApiException.failureOf(failure)
        .filter(
            f ->
                f instanceof ObjectApiFailure.AlreadyExists
                    || f instanceof ObjectApiFailure.Conflict)
        .isPresent();
  }
}
