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

/** One process's client of an {@link InMemoryStore}, with delays and faults. */
public final class InMemoryObjectApi implements ObjectApi {
  private static final Duration LATE = Duration.ofMillis(700);

  private final InMemoryStore store;
  private final ManualScheduler.Process process;
  private Duration oneWay = Duration.ofMillis(1);
  private Duration watchLag = Duration.ZERO;
  private ObjectPage nextList;
  private boolean watchesEnd;
  private StoreEra era = StoreEra.NONE;
  private final List<FakeWatch> open = new ArrayList<>();
  private Duration answerTime = Duration.ZERO;
  private Supplier<Fault> writeFaults = () -> Fault.NONE;
  private Supplier<Fault> readFaults = () -> Fault.NONE;

  /** Connects a process to a store. */
  public InMemoryObjectApi(InMemoryStore store, ManualScheduler.Process process) {
    this.store = store;
    this.process = process;
  }

  /** Asked before each write. */
  public InMemoryObjectApi setWriteFaults(Supplier<Fault> faults) {
    writeFaults = faults;
    return this;
  }

  /** Asked before each read. */
  public InMemoryObjectApi setReadFaults(Supplier<Fault> faults) {
    readFaults = faults;
    return this;
  }

  /** How long a request or an answer travels. */
  public InMemoryObjectApi setOneWay(Duration delay) {
    oneWay = delay;
    return this;
  }

  /** Sets what the next list that is answered gives, as of a store that is behind. */
  public InMemoryObjectApi setNextList(ObjectPage page) {
    nextList = page;
    return this;
  }

  /** Lets a watch end with the first events that it tells, as a call that waits for them does. */
  public InMemoryObjectApi endWatchesWithEvents() {
    watchesEnd = true;
    return this;
  }

  /** Sets how long a watch whose connection is silent lasts beyond its time before it fails. */
  public InMemoryObjectApi setAnswerTime(Duration time) {
    answerTime = time;
    return this;
  }

  /** Lets all connections that are open now fall silent, without an end. New ones work. */
  public void fallSilent() {
    open.forEach(w -> w.silent = true);
    open.clear();
  }

  /** How late watch events come. */
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
    return call(readFaults.get(), new ObjectApiFailure.Unavailable(), () -> listed(query));
  }

  private ObjectPage listed(ListQuery query) {
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
    Duration travel = fault == Fault.LATE_EFFECT ? LATE : oneWay;
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
      process.schedule(oneWay, () -> seen(now));
    }
    answer(result, value, failure);
  }

  private void seen(long now) {
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
        oneWay,
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
    store.process().schedule(oneWay, w::begin);
    open.removeIf(old -> old.ended.isDone());
    open.add(w);
    process.schedule(timeout, w::timeOver);
    return w;
  }

  /** A watch that tells the store's history. */
  private final class FakeWatch implements Watch {
    final CompletableFuture<Void> ended = new CompletableFuture<>();
    private final String collection;
    private final Consumer<WatchEvent> listener;
    private StoreVersion told;
    private boolean ending;
    private boolean silent;

    FakeWatch(String collection, StoreVersion from, Consumer<WatchEvent> listener) {
      this.collection = collection;
      this.told = from;
      this.listener = listener;
    }

    void begin() {
      store.observe(this::tell);
      tell();
    }

    /** The store answers that nothing came, but not on a connection that is silent. */
    private void timeOver() {
      if (silent) {
        process.schedule(answerTime, () -> fail(new ObjectApiFailure.Unavailable()));
      } else {
        ended.complete(null);
      }
    }

    private void tell() {
      if (ended.isDone() || ending || silent) {
        return;
      }
      if (store.isDown()) {
        fail(new ObjectApiFailure.Unavailable());
        return;
      }
      Optional<List<WatchEvent>> events = store.since(collection, told);
      if (events.isEmpty()) {
        fail(new ObjectApiFailure.Expired());
        return;
      }
      told = store.version();
      for (WatchEvent e : events.get()) {
        process.schedule(oneWay.plus(watchLag), () -> deliver(e));
      }
      if (watchesEnd && !events.get().isEmpty()) {
        ending = true;
        process.schedule(oneWay.plus(watchLag), this::told);
      }
    }

    private void deliver(WatchEvent e) {
      if (!ended.isDone() && !silent) {
        listener.accept(e);
      }
    }

    private void told() {
      if (!silent) {
        ended.complete(null);
      }
    }

    private void fail(ObjectApiFailure f) {
      process.schedule(oneWay, () -> ended.completeExceptionally(exception(f)));
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
