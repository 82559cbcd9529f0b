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
import org.larkkeel.store.StoreCircuitBreaker.Admission;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Limits one node's calls to its share of the store's rate limits, and rejects calls while the
 * store is down.
 *
 * <p>It never retries a call, since only the caller knows which calls may be repeated. Thread-safe:
 * the state is confined to the scheduler.
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
  private final StoreCircuitBreaker circuitBreaker;

  /**
   * Creates a rate-limited client.
   *
   * @param target the client that sends the calls
   * @param budget the node's share
   * @param scheduler the scheduler of {@code target}
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
    this.circuitBreaker =
        new StoreCircuitBreaker(
            new Backoff(budget.initialProbeDelay(), budget.maxProbeDelay(), random));
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
    CompletableFuture<Void> watchEnd =
        submit(
            reads,
            circuitBreaker::admitLongRunning,
            () -> w.start(collection, resourceVersion, timeout));
    watchEnd.whenComplete((ok, failure) -> w.complete(failure));
    return w;
  }

  private <T> CompletableFuture<T> submit(CallBucket bucket, Supplier<CompletableFuture<T>> call) {
    return submit(bucket, () -> circuitBreaker.admit(scheduler.nanoTime()), call);
  }

  private <T> CompletableFuture<T> submit(
      CallBucket bucket, Supplier<Admission> admission, Supplier<CompletableFuture<T>> call) {
    CompletableFuture<T> result = new CompletableFuture<>();
    scheduler.execute(() -> admit(bucket, new Call<>(admission, call, result)));
    return result;
  }

  private <T> void admit(CallBucket bucket, Call<T> call) {
    long now = scheduler.nanoTime();
    if (circuitBreaker.isRejecting(now)) {
      refuse(call);
      return;
    }
    long wait = bucket.take(now, budget.maxWait().toNanos());
    if (wait < 0) {
      ObjectApiFailure f = new ObjectApiFailure.Throttled(budget.maxWait());
      call.result.completeExceptionally(
          new ObjectApiException(f, "call not sent: the node's own call budget is exhausted"));
    } else if (wait == 0) {
      send(call);
    } else {
      scheduler.schedule(Duration.ofNanos(wait), () -> send(call));
    }
  }

  private <T> void send(Call<T> call) {
    if (call.admission.get() == Admission.REFUSED) {
      refuse(call);
      return;
    }
    CompletableFuture<T> result = call.result;
    call.target
        .get()
        .whenComplete(
            (value, failure) -> {
              recordOutcome(failure);
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
            new ObjectApiFailure.Unavailable(),
            "call not sent: the store is down and is only probed"));
  }

  private void recordOutcome(Throwable failure) {
    Optional<ObjectApiFailure> f =
        failure == null ? Optional.empty() : ObjectApiException.failureOf(failure);
    long now = scheduler.nanoTime();
    switch (f.orElse(null)) {
      case ObjectApiFailure.Unavailable u -> circuitBreaker.failed(now);
      case ObjectApiFailure.OutcomeUnknown u -> circuitBreaker.failed(now);
      case null, default -> recordAnswer(now);
    }
  }

  private void recordAnswer(long now) {
    if (circuitBreaker.succeeded()) {
      reads.drain(now);
      writes.drain(now);
      LOG.info("event=store-reachable");
    }
  }

  /** A call that has not been sent yet. */
  private record Call<T>(
      Supplier<Admission> admission,
      Supplier<CompletableFuture<T>> target,
      CompletableFuture<T> result) {}

  /** A watch that starts when the call budget allows. Confined to the scheduler. */
  private final class BudgetedWatch implements Watch {
    private final Consumer<WatchEvent> listener;
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private Watch inner;

    BudgetedWatch(Consumer<WatchEvent> listener) {
      this.listener = listener;
    }

    CompletableFuture<Void> start(String collection, StoreVersion version, Duration timeout) {
      if (ended.isDone()) {
        return CompletableFuture.completedFuture(null);
      }
      inner = target.watch(collection, version, timeout, this::deliver);
      return inner.ended();
    }

    void complete(Throwable failure) {
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
    public boolean isReceiving() {
      return inner != null && inner.isReceiving();
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
