/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.larkkeel.store.StoreGate.Admission;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps one node within its share of the store's rates, and off a store that is down.
 *
 * <p>It never repeats a call: what may be repeated is known to the caller only. Safe for use by
 * several threads; its state is confined to the scheduler.
 *
 * @since 0.1
 */
public final class BudgetedObjectApi implements ObjectApi {
  private static final Logger LOG = LoggerFactory.getLogger(BudgetedObjectApi.class);

  private final ObjectApi target;
  private final Scheduler scheduler;
  private final CallBudget budget;
  private final CallBucket reads;
  private final CallBucket writes;
  private final StoreGate gate;

  /**
   * Wraps a client.
   *
   * @param target makes the calls
   * @param budget the node's share
   * @param scheduler the target's scheduler
   * @param random the source of jitter
   */
  public BudgetedObjectApi(
      ObjectApi target, CallBudget budget, Scheduler scheduler, RandomGenerator random) {
    this.target = target;
    this.scheduler = scheduler;
    this.budget = budget;
    long now = scheduler.nanoTime();
    this.reads = new CallBucket(budget.readsPerSecond(), budget.burst(), now);
    this.writes = new CallBucket(budget.writesPerSecond(), budget.burst(), now);
    this.gate = new StoreGate(new Backoff(budget.firstProbe(), budget.longestProbe(), random));
  }

  @Override
  public CompletableFuture<StoredObject> get(ObjectKey key) {
    return submit(reads, () -> target.get(key));
  }

  @Override
  public CompletableFuture<ObjectPage> list(ListQuery query) {
    return submit(reads, () -> target.list(query));
  }

  @Override
  public CompletableFuture<StoredObject> create(ObjectKey key, String kind, JsonNode spec) {
    return submit(writes, () -> target.create(key, kind, spec));
  }

  @Override
  public CompletableFuture<StoredObject> update(
      ObjectKey key, String kind, JsonNode spec, StoreVersion resourceVersion) {
    return submit(writes, () -> target.update(key, kind, spec, resourceVersion));
  }

  @Override
  public CompletableFuture<Void> delete(ObjectKey key, StoreVersion resourceVersion) {
    return submit(writes, () -> target.delete(key, resourceVersion));
  }

  @Override
  public StoreEra era() {
    return target.era();
  }

  @Override
  public Watch watch(
      String collection,
      StoreVersion resourceVersion,
      Duration timeout,
      Consumer<WatchEvent> listener) {
    BudgetedWatch w = new BudgetedWatch(listener);
    CompletableFuture<Void> begun =
        submit(reads, gate::admitLong, () -> w.begin(collection, resourceVersion, timeout));
    begun.whenComplete((ok, failure) -> w.begun(failure));
    return w;
  }

  private <T> CompletableFuture<T> submit(CallBucket bucket, Supplier<CompletableFuture<T>> call) {
    return submit(bucket, () -> gate.admit(scheduler.nanoTime()), call);
  }

  private <T> CompletableFuture<T> submit(
      CallBucket bucket, Supplier<Admission> admission, Supplier<CompletableFuture<T>> call) {
    CompletableFuture<T> result = new CompletableFuture<>();
    scheduler.execute(() -> admit(bucket, new Call<>(admission, call, result)));
    return result;
  }

  private <T> void admit(CallBucket bucket, Call<T> call) {
    long now = scheduler.nanoTime();
    if (gate.isShut(now)) {
      refuse(call);
      return;
    }
    long wait = bucket.take(now, budget.longestWait().toNanos());
    if (wait < 0) {
      ObjectApiFailure f = new ObjectApiFailure.Throttled(budget.longestWait());
      call.result.completeExceptionally(
          new ObjectApiException(f, "the node's own call budget is used up"));
    } else if (wait == 0) {
      make(call);
    } else {
      scheduler.schedule(Duration.ofNanos(wait), () -> make(call));
    }
  }

  private <T> void make(Call<T> call) {
    if (call.admission.get() == Admission.REFUSED) {
      refuse(call);
      return;
    }
    CompletableFuture<T> result = call.result;
    call.target
        .get()
        .whenComplete(
            (value, failure) -> {
              observe(failure);
              if (failure == null) {
                result.complete(value);
              } else {
                result.completeExceptionally(failure);
              }
            });
  }

  private static void refuse(Call<?> call) {
    call.result.completeExceptionally(
        new ObjectApiException(
            new ObjectApiFailure.Unavailable(), "not called: the store is down"));
  }

  private void observe(Throwable failure) {
    Optional<ObjectApiFailure> f =
        failure == null ? Optional.empty() : ObjectApiException.failureOf(failure);
    long now = scheduler.nanoTime();
    switch (f.orElse(null)) {
      case ObjectApiFailure.Unavailable u -> gate.failed(now);
      case ObjectApiFailure.OutcomeUnknown u -> gate.failed(now);
      case null, default -> answered(now);
    }
  }

  private void answered(long now) {
    if (gate.succeeded()) {
      reads.drain(now);
      writes.drain(now);
      LOG.info("event=store-reachable");
    }
  }

  /** A call that waits for its turn. */
  private record Call<T>(
      Supplier<Admission> admission,
      Supplier<CompletableFuture<T>> target,
      CompletableFuture<T> result) {}

  /** A watch that begins when the budget allows. Confined to the scheduler. */
  private final class BudgetedWatch implements Watch {
    private final Consumer<WatchEvent> listener;
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private Watch inner;

    BudgetedWatch(Consumer<WatchEvent> listener) {
      this.listener = listener;
    }

    CompletableFuture<Void> begin(String collection, StoreVersion version, Duration timeout) {
      if (ended.isDone()) {
        return CompletableFuture.completedFuture(null);
      }
      inner = target.watch(collection, version, timeout, this::deliver);
      return inner.ended();
    }

    void begun(Throwable failure) {
      if (failure == null) {
        ended.complete(null);
      } else {
        ended.completeExceptionally(failure);
      }
    }

    private void deliver(WatchEvent e) {
      if (!ended.isDone()) {
        listener.accept(e);
      }
    }

    @Override
    public CompletableFuture<Void> ended() {
      return ended;
    }

    @Override
    public void close() {
      scheduler.execute(
          () -> {
            ended.complete(null);
            if (inner != null) {
              inner.close();
            }
          });
    }
  }
}
