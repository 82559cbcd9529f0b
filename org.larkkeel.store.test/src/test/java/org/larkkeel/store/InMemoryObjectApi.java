/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** A process's client of an {@link InMemoryStore}, with injected delays and faults. */
public final class InMemoryObjectApi implements ObjectApi {
  private static final Duration LATE_EFFECT_DELAY = Duration.ofMillis(700);

  private final InMemoryStore store;
  private final ManualScheduler.Process process;
  private Duration oneWayDelay = Duration.ofMillis(1);
  private Duration transferTime = Duration.ZERO;
  private Duration watchLag = Duration.ZERO;
  private ObjectPage nextList;
  private boolean watchesEndWithEvents;
  private StoreEra era = StoreEra.NONE;
  private final List<FakeWatch> openWatches = new ArrayList<>();
  private Duration unresponsiveWatchDelay = Duration.ZERO;
  private Supplier<Fault> writeFaults = () -> Fault.NONE;
  private Supplier<Fault> readFaults = () -> Fault.NONE;

  /** Connects a process to a store. */
  public InMemoryObjectApi(InMemoryStore store, ManualScheduler.Process process) {
    this.store = store;
    this.process = process;
  }

  /** Sets the source of faults of writes, called once per write. */
  public InMemoryObjectApi setWriteFaults(Supplier<Fault> faults) {
    writeFaults = faults;
    return this;
  }

  /** Sets the source of faults of reads, called once per read. */
  public InMemoryObjectApi setReadFaults(Supplier<Fault> faults) {
    readFaults = faults;
    return this;
  }

  /** Sets the transmission time of a request or an answer. */
  public InMemoryObjectApi setOneWayDelay(Duration delay) {
    oneWayDelay = delay;
    return this;
  }

  /** Sets the answer to the next list, as from a store replica that lags behind. */
  public InMemoryObjectApi setNextList(ObjectPage page) {
    nextList = page;
    return this;
  }

  /** Makes each watch end after its first events, like a long poll. */
  public InMemoryObjectApi endWatchesWithEvents() {
    watchesEndWithEvents = true;
    return this;
  }

  /** Sets the time after its timeout at which a watch on an unresponsive connection fails. */
  public InMemoryObjectApi setUnresponsiveWatchDelay(Duration delay) {
    unresponsiveWatchDelay = delay;
    return this;
  }

  /** Makes all open connections unresponsive without closing them. New connections work. */
  public void makeConnectionsUnresponsive() {
    openWatches.forEach(w -> w.unresponsive = true);
    openWatches.clear();
  }

  /** Sets the time for which a watch receives an answer with events. */
  public void setTransferTime(Duration time) {
    transferTime = time;
  }

  /** Sets the additional delay of watch events. */
  public InMemoryObjectApi setWatchLag(Duration lag) {
    watchLag = lag;
    return this;
  }

  @Override
  public CompletableFuture<StoredObject> get(ObjectKey key) {
    return call(readFaults.get(), new ObjectApiFailure.Unavailable(), () -> store.get(key));
  }

  @Override
  public CompletableFuture<ObjectPage> list(ListQuery query) {
    return call(readFaults.get(), new ObjectApiFailure.Unavailable(), () -> answerList(query));
  }

  private ObjectPage answerList(ListQuery query) {
    ObjectPage page = nextList == null ? store.list(query) : nextList;
    nextList = null;
    return page;
  }

  @Override
  public CompletableFuture<StoredObject> create(ObjectKey key, String kind, JsonNode spec) {
    return write(() -> store.create(key, kind, spec));
  }

  @Override
  public CompletableFuture<StoredObject> update(
      ObjectKey key, String kind, JsonNode spec, StoreVersion resourceVersion) {
    return write(() -> store.update(key, kind, spec, resourceVersion));
  }

  @Override
  public CompletableFuture<Void> delete(ObjectKey key, StoreVersion resourceVersion) {
    return write(() -> store.delete(key, resourceVersion));
  }

  private <T> CompletableFuture<T> write(Supplier<T> effect) {
    return call(writeFaults.get(), new ObjectApiFailure.OutcomeUnknown(), effect);
  }

  private <T> CompletableFuture<T> call(Fault fault, ObjectApiFailure lost, Supplier<T> effect) {
    CompletableFuture<T> result = new CompletableFuture<>();
    Duration travel = fault == Fault.LATE_EFFECT ? LATE_EFFECT_DELAY : oneWayDelay;
    store.process().schedule(travel, () -> arrive(fault, lost, effect, result));
    if (fault == Fault.LATE_EFFECT) {
      answer(result, null, exception(lost));
    }
    return result;
  }

  private <T> void arrive(
      Fault fault, ObjectApiFailure lost, Supplier<T> effect, CompletableFuture<T> result) {
    if (fault == Fault.REFUSE || store.isDown()) {
      answer(result, null, exception(new ObjectApiFailure.Unavailable()));
    } else if (fault == Fault.LOSE_REQUEST) {
      answer(result, null, exception(lost));
    } else {
      perform(fault, lost, effect, result);
    }
  }

  private <T> void perform(
      Fault fault, ObjectApiFailure lost, Supplier<T> effect, CompletableFuture<T> result) {
    T value = null;
    ObjectApiException failure = null;
    try {
      value = effect.get();
    } catch (ObjectApiException e) {
      failure = e;
    }
    if (fault == Fault.LOSE_ANSWER) {
      failure = exception(lost);
    } else {
      long now = store.version().era();
      process.schedule(oneWayDelay, () -> observeEra(now));
    }
    answer(result, value, failure);
  }

  private void observeEra(long now) {
    if (now > era.number()) {
      era = new StoreEra(now, process.nanoTime());
    }
  }

  @Override
  public StoreEra era() {
    return era;
  }

  private <T> void answer(CompletableFuture<T> result, T value, ObjectApiException failure) {
    process.schedule(
        oneWayDelay,
        () -> {
          if (failure == null) {
            result.complete(value);
          } else {
            result.completeExceptionally(failure);
          }
        });
  }

  private static ObjectApiException exception(ObjectApiFailure f) {
    return new ObjectApiException(f, "injected");
  }

  @Override
  public Watch watch(
      String collection,
      StoreVersion resourceVersion,
      Duration timeout,
      Consumer<WatchEvent> listener) {
    store.countWatch();
    FakeWatch w = new FakeWatch(collection, resourceVersion, listener);
    store.process().schedule(oneWayDelay, w::start);
    openWatches.removeIf(old -> old.ended.isDone());
    openWatches.add(w);
    process.schedule(timeout.plus(oneWayDelay.multipliedBy(2)), w::timeOut);
    return w;
  }

  /** A watch that delivers the store's history. */
  private final class FakeWatch implements Watch {
    final CompletableFuture<Void> ended = new CompletableFuture<>();
    private final String collection;
    private final Consumer<WatchEvent> listener;
    private StoreVersion delivered;
    private boolean ending;
    private boolean unresponsive;
    private boolean receiving;

    FakeWatch(String collection, StoreVersion from, Consumer<WatchEvent> listener) {
      this.collection = collection;
      this.delivered = from;
      this.listener = listener;
    }

    void start() {
      store.observe(this::deliverChanges);
      deliverChanges();
    }

    /**
     * Ends the watch without events when its timeout expires. On an unresponsive connection the
     * answer does not arrive, so the watch fails instead.
     */
    private void timeOut() {
      if (unresponsive) {
        process.schedule(unresponsiveWatchDelay, () -> fail(new ObjectApiFailure.Unavailable()));
      } else if (!receiving) {
        ended.complete(null);
      }
    }

    private void deliverChanges() {
      if (ended.isDone() || ending || unresponsive) {
        return;
      }
      if (store.isDown()) {
        fail(new ObjectApiFailure.Unavailable());
        return;
      }
      Optional<List<WatchEvent>> events = store.changesSince(collection, delivered);
      if (events.isEmpty()) {
        fail(new ObjectApiFailure.Expired());
        return;
      }
      delivered = store.version();
      receiving = !transferTime.isZero() && !events.get().isEmpty();
      for (WatchEvent e : events.get()) {
        process.schedule(oneWayDelay.plus(watchLag).plus(transferTime), () -> deliver(e));
      }
      if (watchesEndWithEvents && !events.get().isEmpty()) {
        ending = true;
        process.schedule(oneWayDelay.plus(watchLag).plus(transferTime), this::delivered);
      }
    }

    private void deliver(WatchEvent e) {
      receiving = false;
      if (!ended.isDone() && !unresponsive) {
        listener.accept(e);
      }
    }

    private void delivered() {
      if (!unresponsive) {
        ended.complete(null);
      }
    }

    private void fail(ObjectApiFailure f) {
      process.schedule(oneWayDelay, () -> ended.completeExceptionally(exception(f)));
    }

    @Override
    public boolean isReceiving() {
      return receiving;
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
