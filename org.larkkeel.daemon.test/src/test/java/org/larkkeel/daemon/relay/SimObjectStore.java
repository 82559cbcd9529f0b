/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.larkkeel.daemon.VirtualTime;
import org.larkkeel.store.ListQuery;
import org.larkkeel.store.ObjectApi;
import org.larkkeel.store.ObjectApiException;
import org.larkkeel.store.ObjectApiFailure;
import org.larkkeel.store.ObjectKey;
import org.larkkeel.store.ObjectPage;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.StoreEra;
import org.larkkeel.store.StoreVersion;
import org.larkkeel.store.StoredObject;
import org.larkkeel.store.Watch;
import org.larkkeel.store.WatchEvent;

/** An object store of one collection and no watches, in virtual time, with injected faults. */
final class SimObjectStore {
  /** The time until a write arrives that is executed late; its caller has given up before. */
  static final Duration LATE = Duration.ofSeconds(3);

  private static final Duration ONE_WAY = Duration.ofMillis(1);
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  final VirtualTime time = new VirtualTime();
  final Scheduler scheduler = new Clock(time);

  /** The faults of the next writes. */
  final Queue<Fault> faults = new ArrayDeque<>();

  /** The objects by name. */
  final TreeMap<String, StoredObject> objects = new TreeMap<>();

  /** The number of writes that were executed. */
  int writes;

  /** The number of writes that were sent, those that conflict included. */
  int sentWrites;

  /** The number of objects that were asked for one by one. */
  int sentReads;

  /** Whether calls fail after the time limit, without effect. */
  boolean isAway;

  /** The number of objects on a page. */
  int pageSize = ListQuery.DEFAULT_LIMIT;

  /** The number of pages that were read. */
  int pages;

  private long era = 1;
  private long number;

  /** What becomes of a write. */
  enum Fault {
    /** It is executed, and its answer is lost. */
    ANSWER_LOST,
    /** It is executed after its caller has given up. */
    EXECUTED_LATE
  }

  /** Virtual time with a wall clock that agrees with it. */
  private record Clock(VirtualTime time) implements Scheduler {
    @Override
    public long nanoTime() {
      return time.nanoTime();
    }

    @Override
    public long wallMillis() {
      return Duration.ofNanos(time.nanoTime()).toMillis();
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
      return time.schedule(delay, task);
    }

    @Override
    public void execute(Runnable task) {
      time.execute(task);
    }
  }

  /** Begins a new era, as after a restore from a copy. */
  void restore() {
    era++;
  }

  /** Stores an object that another writer wrote. */
  void put(String name, JsonNode spec) {
    put(new ObjectKey(StreamEntry.COLLECTION, name), spec);
  }

  private StoredObject put(ObjectKey key, JsonNode spec) {
    number++;
    StoredObject stored =
        new StoredObject(key, key.collection(), new StoreVersion(era, number), spec);
    objects.put(key.name(), stored);
    return stored;
  }

  /** Returns a client of its own view of the era. */
  ObjectApi client() {
    return new Client();
  }

  private static ObjectApiException failure(ObjectApiFailure f) {
    return new ObjectApiException(f, "injected");
  }

  private final class Client implements ObjectApi {
    private StoreEra observed = StoreEra.NONE;

    @Override
    public StoreEra era() {
      return observed;
    }

    @Override
    public CompletableFuture<StoredObject> get(ObjectKey key) {
      sentReads++;
      return call(
          null,
          () -> {
            if (!objects.containsKey(key.name())) {
              throw failure(new ObjectApiFailure.NotFound());
            }
            return objects.get(key.name());
          });
    }

    @Override
    public CompletableFuture<ObjectPage> list(ListQuery query) {
      return call(
          null,
          () -> {
            pages++;
            List<StoredObject> rest =
                List.copyOf(objects.tailMap(query.continueToken(), false).values());
            ImmutableList<StoredObject> page =
                rest.stream().limit(pageSize).collect(ImmutableList.toImmutableList());
            String token = page.size() == rest.size() ? "" : page.getLast().key().name();
            return new ObjectPage(page, new StoreVersion(era, number), token);
          });
    }

    @Override
    public CompletableFuture<StoredObject> create(ObjectKey key, String kind, JsonNode spec) {
      sentWrites++;
      return call(
          faults.poll(),
          () -> {
            if (objects.containsKey(key.name())) {
              throw failure(new ObjectApiFailure.AlreadyExists());
            }
            return write(key, spec);
          });
    }

    @Override
    public CompletableFuture<StoredObject> update(
        ObjectKey key, String kind, JsonNode spec, StoreVersion expected) {
      sentWrites++;
      return call(
          faults.poll(),
          () -> {
            if (!objects.get(key.name()).resourceVersion().equals(expected)) {
              throw failure(new ObjectApiFailure.Conflict());
            }
            return write(key, spec);
          });
    }

    private StoredObject write(ObjectKey key, JsonNode spec) {
      writes++;
      return put(key, spec.deepCopy());
    }

    @Override
    public CompletableFuture<Void> delete(ObjectKey key, StoreVersion expected) {
      throw new UnsupportedOperationException();
    }

    @Override
    public Watch watch(
        String collection, StoreVersion from, Duration timeout, Consumer<WatchEvent> listener) {
      throw new UnsupportedOperationException();
    }

    private <T> CompletableFuture<T> call(Fault fault, Supplier<T> effect) {
      CompletableFuture<T> result = new CompletableFuture<>();
      time.schedule(
          fault == Fault.EXECUTED_LATE ? LATE : ONE_WAY, () -> arrive(fault, effect, result));
      time.schedule(
          TIMEOUT,
          () ->
              result.completeExceptionally(
                  failure(
                      fault == null
                          ? new ObjectApiFailure.Unavailable()
                          : new ObjectApiFailure.OutcomeUnknown())));
      return result;
    }

    private <T> void arrive(Fault fault, Supplier<T> effect, CompletableFuture<T> result) {
      if (isAway) {
        return;
      }
      long seen = era;
      try {
        T value = effect.get();
        if (fault == null) {
          answer(seen, () -> result.complete(value));
        }
      } catch (ObjectApiException e) {
        if (fault == null) {
          answer(seen, () -> result.completeExceptionally(e));
        }
      }
    }

    private void answer(long seen, Runnable completion) {
      time.schedule(
          ONE_WAY,
          () -> {
            if (seen != observed.number()) {
              observed = new StoreEra(seen, time.nanoTime());
            }
            completion.run();
          });
    }
  }
}
