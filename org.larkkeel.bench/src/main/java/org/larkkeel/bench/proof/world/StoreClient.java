/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.world;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.larkkeel.store.ListQuery;
import org.larkkeel.store.ObjectApi;
import org.larkkeel.store.ObjectApiException;
import org.larkkeel.store.ObjectApiFailure;
import org.larkkeel.store.ObjectKey;
import org.larkkeel.store.ObjectPage;
import org.larkkeel.store.StoreVersion;
import org.larkkeel.store.StoredObject;
import org.larkkeel.store.Watch;
import org.larkkeel.store.WatchEvent;

/**
 * One process's client of the {@link Store}, with the faults of now.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class StoreClient implements ObjectApi {
  private static final long ONE_WAY = 2 * VirtualTime.MILLI;
  private static final long TIMEOUT = VirtualTime.SECOND;

  /** A slow call that is answered in time. */
  private static final long SLOW = 700 * VirtualTime.MILLI;

  /** A slow call that takes effect after its caller gave up. */
  private static final long LATE = 1_500 * VirtualTime.MILLI;

  private final World world;
  private final VirtualTime.Process process;
  private int slowCalls;

  StoreClient(World world, VirtualTime.Process process) {
    this.world = world;
    this.process = process;
  }

  @Override
  public CompletableFuture<StoredObject> get(ObjectKey key) {
    return call(false, () -> world.store().get(key));
  }

  @Override
  public CompletableFuture<ObjectPage> list(ListQuery query) {
    return call(false, () -> world.store().list(query));
  }

  @Override
  public CompletableFuture<StoredObject> create(ObjectKey key, String kind, JsonNode spec) {
    return call(true, () -> world.store().create(key, kind, spec));
  }

  @Override
  public CompletableFuture<StoredObject> update(
      ObjectKey key, String kind, JsonNode spec, StoreVersion resourceVersion) {
    return call(true, () -> world.store().update(key, kind, spec, resourceVersion));
  }

  @Override
  public CompletableFuture<Void> delete(ObjectKey key, StoreVersion resourceVersion) {
    return call(true, () -> world.store().delete(key, resourceVersion));
  }

  @Override
  public Watch watch(
      String collection,
      StoreVersion resourceVersion,
      Duration timeout,
      Consumer<WatchEvent> listener) {
    StoreWatch watch = new StoreWatch(collection, resourceVersion, listener);
    world.platform().after(ONE_WAY, watch::begin);
    process.schedule(timeout, () -> watch.ended.complete(null));
    return watch;
  }

  private <T> CompletableFuture<T> call(boolean write, Supplier<T> effect) {
    CompletableFuture<T> result = new CompletableFuture<>();
    world.platform().after(ONE_WAY, () -> arrive(write, effect, result));
    return result;
  }

  private <T> void arrive(boolean write, Supplier<T> effect, CompletableFuture<T> result) {
    if (world.storeFaults().isDown()) {
      answer(ONE_WAY, result, null, new ObjectApiFailure.Unavailable());
      return;
    }
    if (!world.storeFaults().isSlow()) {
      take(write, effect, result);
      return;
    }
    slowCalls++;
    boolean late = slowCalls % 2 == 0;
    if (late) {
      answer(TIMEOUT, result, null, lost(write));
    }
    world.platform().after(late ? LATE : SLOW, () -> take(write, effect, result));
  }

  private <T> void take(boolean write, Supplier<T> effect, CompletableFuture<T> result) {
    T value = null;
    ObjectApiFailure failure = null;
    try {
      value = effect.get();
    } catch (ObjectApiException e) {
      failure = e.failure();
    }
    if (write && world.storeFaults().isLosing()) {
      answer(TIMEOUT, result, null, lost(true));
    } else {
      answer(ONE_WAY, result, value, failure);
    }
  }

  private static ObjectApiFailure lost(boolean write) {
    return write ? new ObjectApiFailure.OutcomeUnknown() : new ObjectApiFailure.Unavailable();
  }

  private <T> void answer(
      long delay, CompletableFuture<T> result, T value, ObjectApiFailure failure) {
    process.after(
        delay,
        () -> {
          if (failure == null) {
            result.complete(value);
          } else {
            result.completeExceptionally(new ObjectApiException(failure, "injected"));
          }
        });
  }

  /** Tells the changes of a collection. */
  private final class StoreWatch implements Watch {
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private final String collection;
    private final Consumer<WatchEvent> listener;
    private StoreVersion told;
    private long next;

    StoreWatch(String collection, StoreVersion from, Consumer<WatchEvent> listener) {
      this.collection = collection;
      this.told = from;
      this.listener = listener;
    }

    void begin() {
      world.store().observe(this::tell);
      tell();
    }

    private void tell() {
      if (ended.isDone()) {
        return;
      }
      if (world.storeFaults().isDown()) {
        ObjectApiException down =
            new ObjectApiException(new ObjectApiFailure.Unavailable(), "injected");
        process.after(ONE_WAY, () -> ended.completeExceptionally(down));
        return;
      }
      long delay = world.storeFaults().isSlow() ? LATE : ONE_WAY;
      next = Math.max(next, world.time().now() + delay);
      for (WatchEvent event : world.store().since(collection, told)) {
        process.at(next, () -> deliver(event));
      }
      told = world.store().version();
    }

    private void deliver(WatchEvent event) {
      if (!ended.isDone()) {
        listener.accept(event);
      }
    }

    @Override
    public CompletableFuture<Void> ended() {
      return ended;
    }

    @Override
    public void close() {
      ended.complete(null);
    }
  }
}
