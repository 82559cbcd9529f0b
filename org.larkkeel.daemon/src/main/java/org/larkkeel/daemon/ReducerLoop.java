/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.EventTranslatorOneArg;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.TimeoutException;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.larkkeel.effect.EffectSink;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;
import org.larkkeel.event.Event;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the reducer over all events on one thread.
 *
 * <p>Events wait in a bounded ring. A request that arrives while the ring is nearly full is handed
 * to the overflow handler; every other event waits for room, so that no outcome is lost. An event
 * that is published on the loop's own thread, by an effect that fails at once, is applied next,
 * without the ring, so that the loop never waits for itself.
 *
 * <p>Invariants: events are applied one at a time; their times never decrease; effects are executed
 * in the order decided, before the next event. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class ReducerLoop implements AutoCloseable {
  /** The share of the ring, one in this many, that is kept free of arriving requests. */
  private static final int RESERVED_SHARE = 4;

  private static final long CLOSE_TIMEOUT_SECONDS = 5;
  private static final long FULL_PAUSE_NANOS = 50_000;
  private static final Logger log = LoggerFactory.getLogger(ReducerLoop.class);
  private static final EventTranslatorOneArg<Slot, Event> EVENT = (slot, seq, e) -> slot.event = e;
  private static final EventTranslatorOneArg<Slot, Runnable> QUERY =
      (slot, seq, q) -> slot.query = q;

  private final Reducer reducer;
  private final EffectSink effects;
  private final Consumer<Event.RequestArrived> overflow;
  private final Disruptor<Slot> disruptor;
  private final RingBuffer<Slot> ring;
  private final long reserved;
  private final Deque<Event> own = new ArrayDeque<>();
  private volatile Thread thread;
  private volatile boolean closed;
  private boolean timed;
  private long last;

  /** One place of the ring: an event or a query. */
  private static final class Slot {
    private Event event;
    private Runnable query;
  }

  /**
   * Creates a loop that does not run yet.
   *
   * @param name the name of its thread
   * @param size the number of events that may wait, a power of 2
   * @param reducer the reducer
   * @param effects executes effects on the loop's thread; must neither block nor throw
   * @param overflow takes requests that found no room, on the thread that published them
   */
  public ReducerLoop(
      String name,
      int size,
      Reducer reducer,
      EffectSink effects,
      Consumer<Event.RequestArrived> overflow) {
    this.reducer = reducer;
    this.effects = effects;
    this.overflow = overflow;
    this.reserved = size / RESERVED_SHARE;
    this.disruptor =
        new Disruptor<>(
            Slot::new,
            size,
            task -> newThread(name, task),
            ProducerType.MULTI,
            new BlockingWaitStrategy());
    this.disruptor.setDefaultExceptionHandler(new Failures());
    this.disruptor.handleEventsWith((slot, sequence, endOfBatch) -> consume(slot));
    this.ring = disruptor.getRingBuffer();
  }

  private Thread newThread(String name, Runnable task) {
    Thread created = new Thread(task, name);
    created.setDaemon(true);
    thread = created;
    return created;
  }

  /** Starts the loop; events published before are applied first. */
  public void start() {
    disruptor.start();
  }

  /**
   * Publishes an event. Waits for room, unless it is a request that arrives or the calling thread
   * is the loop's own. After the loop is closed events are dropped.
   *
   * @param event the event, never null
   */
  public void publish(Event event) {
    if (closed) {
      return;
    }
    if (Thread.currentThread() == thread) {
      own.add(event);
    } else if (event instanceof Event.RequestArrived arrived) {
      publishArrival(arrived);
    } else {
      publishOutcome(event);
    }
  }

  private void publishOutcome(Event event) {
    while (!ring.tryPublishEvent(EVENT, event)) {
      if (closed) {
        return;
      }
      LockSupport.parkNanos(FULL_PAUSE_NANOS);
    }
  }

  private void publishArrival(Event.RequestArrived arrived) {
    boolean room = ring.remainingCapacity() > reserved;
    if (!room || !ring.tryPublishEvent(EVENT, arrived)) {
      overflow.accept(arrived);
    }
  }

  /**
   * Reads the state of the reducer between two events.
   *
   * @param query reads on the loop's thread; must not change anything
   * @param <T> the type of the result
   * @return what was read; fails with {@link ErrorKind#NOT_READY} if the loop is closed or full
   */
  public <T> CompletableFuture<T> query(Supplier<T> query) {
    CompletableFuture<T> result = new CompletableFuture<>();
    if (Thread.currentThread() == thread) {
      answer(query, result);
    } else if (closed || !ring.tryPublishEvent(QUERY, () -> answer(query, result))) {
      result.completeExceptionally(
          new LarkkeelException(ErrorKind.NOT_READY, "The node is too busy or stops."));
    }
    return result;
  }

  private static <T> void answer(Supplier<T> query, CompletableFuture<T> result) {
    try {
      result.complete(query.get());
    } catch (RuntimeException e) {
      result.completeExceptionally(e);
    }
  }

  /**
   * Counts the events that wait.
   *
   * @return events in the ring
   */
  public long waiting() {
    return ring.getBufferSize() - ring.remainingCapacity();
  }

  private void consume(Slot slot) {
    Event event = slot.event;
    Runnable query = slot.query;
    slot.event = null;
    slot.query = null;
    if (query != null) {
      query.run();
    }
    if (event != null) {
      apply(event);
    }
    for (Event next = own.poll(); next != null; next = own.poll()) {
      apply(next);
    }
  }

  private void apply(Event event) {
    Event inOrder = timed ? EventTimes.notBefore(event, last) : event;
    timed = true;
    last = inOrder.at();
    try {
      reducer.apply(inOrder, effects);
    } catch (RuntimeException e) {
      log.error("event=reducer_failed type={}", event.getClass().getSimpleName(), e);
    }
  }

  /** Ends the thread without applying what waits, as a crash would. */
  void abort() {
    closed = true;
    disruptor.halt();
  }

  /** Applies what waits, for a bounded time, and ends the thread. */
  @Override
  public void close() {
    if (closed) {
      return;
    }
    closed = true;
    try {
      disruptor.shutdown(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (TimeoutException e) {
      log.warn("event=loop_closed_early waiting={}", waiting());
      disruptor.halt();
    }
  }

  /** Logs what escapes the reducer and the queries; the loop goes on. */
  private static final class Failures implements ExceptionHandler<Slot> {
    @Override
    public void handleEventException(Throwable e, long sequence, Slot slot) {
      log.error("event=loop_failed sequence={}", sequence, e);
    }

    @Override
    public void handleOnStartException(Throwable e) {
      log.error("event=loop_start_failed", e);
    }

    @Override
    public void handleOnShutdownException(Throwable e) {
      log.error("event=loop_stop_failed", e);
    }
  }
}
