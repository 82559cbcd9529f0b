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
 * The client of one process for the {@link Store}, subject to the active {@link StoreFaults}.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class StoreClient implements ObjectApi {
  private static final long ONE_WAY_NANOS = 2 * VirtualTime.MILLI;
  private static final long TIMEOUT_NANOS = VirtualTime.SECOND;

  /** The duration of a slow call that is answered before {@link #TIMEOUT_NANOS}. */
  private static final long SLOW_NANOS = 700 * VirtualTime.MILLI;

  /** The duration of a slow call that takes effect after its caller timed out. */
  private static final long LATE_NANOS = 1_500 * VirtualTime.MILLI;

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
    world.platform().after(ONE_WAY_NANOS, watch::start);
    process.schedule(timeout, () -> watch.ended.complete(null));
    return watch;
  }

  private <T> CompletableFuture<T> call(boolean write, Supplier<T> effect) {
    CompletableFuture<T> result = new CompletableFuture<>();
    world.platform().after(ONE_WAY_NANOS, () -> receive(write, effect, result));
    return result;
  }

  private <T> void receive(boolean write, Supplier<T> effect, CompletableFuture<T> result) {
    if (world.storeFaults().isDown()) {
      answer(ONE_WAY_NANOS, result, null, new ObjectApiFailure.Unavailable());
      return;
    }
    if (!world.storeFaults().isSlow()) {
      execute(write, effect, result);
      return;
    }
    slowCalls++;
    boolean late = slowCalls % 2 == 0;
    if (late) {
      answer(TIMEOUT_NANOS, result, null, timeoutFailure(write));
    }
    world.platform().after(late ? LATE_NANOS : SLOW_NANOS, () -> execute(write, effect, result));
  }

  private <T> void execute(boolean write, Supplier<T> effect, CompletableFuture<T> result) {
    T value = null;
    ObjectApiFailure failure = null;
    try {
      value = effect.get();
    } catch (ObjectApiException e) {
      failure = e.failure();
    }
    if (write && world.storeFaults().isLosingAnswers()) {
      answer(TIMEOUT_NANOS, result, null, timeoutFailure(true));
    } else {
      answer(ONE_WAY_NANOS, result, value, failure);
    }
  }

  private static ObjectApiFailure timeoutFailure(boolean write) {
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

  /** Delivers the changes of a collection in order. */
  private final class StoreWatch implements Watch {
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private final String collection;
    private final Consumer<WatchEvent> listener;
    private StoreVersion deliveredVersion;
    private long nextDeliveryAt;

    StoreWatch(String collection, StoreVersion from, Consumer<WatchEvent> listener) {
      this.collection = collection;
      this.deliveredVersion = from;
      this.listener = listener;
    }

    void start() {
      world.store().addObserver(this::deliverChanges);
      deliverChanges();
    }

    private void deliverChanges() {
      if (ended.isDone()) {
        return;
      }
      if (world.storeFaults().isDown()) {
        ObjectApiException down =
            new ObjectApiException(new ObjectApiFailure.Unavailable(), "injected");
        process.after(ONE_WAY_NANOS, () -> ended.completeExceptionally(down));
        return;
      }
      long delay = world.storeFaults().isSlow() ? LATE_NANOS : ONE_WAY_NANOS;
      nextDeliveryAt = Math.max(nextDeliveryAt, world.time().now() + delay);
      for (WatchEvent event : world.store().changesAfter(collection, deliveredVersion)) {
        process.at(nextDeliveryAt, () -> deliver(event));
      }
      deliveredVersion = world.store().version();
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
