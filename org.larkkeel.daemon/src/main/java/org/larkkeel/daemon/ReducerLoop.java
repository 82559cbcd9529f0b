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
 * <p>Events are queued in a bounded ring buffer. A request that arrives while the ring is nearly
 * full is passed to the overflow handler; the publisher of any other event waits for free space, so
 * that no outcome is lost. An event that an effect publishes on the loop's own thread, because it
 * fails immediately, bypasses the ring and is applied next, so that the loop never waits for
 * itself.
 *
 * <p>Invariants: events are applied one at a time; their times never decrease; the effects of an
 * event are executed in the order decided, before the next event. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class ReducerLoop implements AutoCloseable {
  /** One entry in this many is reserved for events other than arriving requests. */
  private static final int RESERVED_DIVISOR = 4;

  private static final long CLOSE_TIMEOUT_SECONDS = 5;
  private static final long FULL_RING_PARK_NANOS = 50_000;
  private static final Logger log = LoggerFactory.getLogger(ReducerLoop.class);
  private static final EventTranslatorOneArg<RingEntry, Event> EVENT_TRANSLATOR =
      (entry, seq, e) -> entry.event = e;
  private static final EventTranslatorOneArg<RingEntry, Runnable> QUERY_TRANSLATOR =
      (entry, seq, q) -> entry.query = q;

  private final Reducer reducer;
  private final EffectSink effects;
  private final Consumer<Event.RequestArrived> overflow;
  private final Disruptor<RingEntry> disruptor;
  private final RingBuffer<RingEntry> ring;
  private final long reservedEntries;
  private final Deque<Event> ownEvents = new ArrayDeque<>();
  private volatile Thread thread;
  private volatile boolean closed;
  private boolean hasLastTime;
  private long lastTime;

  /** An entry of the ring buffer: an event or a query. */
  private static final class RingEntry {
    private Event event;
    private Runnable query;
  }

  /**
   * Creates a loop that does not run yet.
   *
   * @param name the name of its thread
   * @param size the capacity of the ring buffer in events, a power of 2
   * @param reducer the reducer
   * @param effects executes effects, on the loop's thread; must neither block nor throw
   * @param overflow receives the requests that the ring has no space for, on the thread that
   *     published them
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
    this.reservedEntries = size / RESERVED_DIVISOR;
    this.disruptor =
        new Disruptor<>(
            RingEntry::new,
            size,
            task -> newThread(name, task),
            ProducerType.MULTI,
            new BlockingWaitStrategy());
    this.disruptor.setDefaultExceptionHandler(new FailureLogger());
    this.disruptor.handleEventsWith((entry, sequence, endOfBatch) -> consume(entry));
    this.ring = disruptor.getRingBuffer();
  }

  private Thread newThread(String name, Runnable task) {
    Thread created = new Thread(task, name);
    created.setDaemon(true);
    thread = created;
    return created;
  }

  /** Starts the loop; events that were published earlier are applied first. */
  public void start() {
    disruptor.start();
  }

  /**
   * Publishes an event. Blocks while the ring is full, unless the event is an arriving request or
   * the calling thread is the loop's own. Events published after the loop was closed are dropped.
   *
   * @param event the event, never null
   */
  public void publish(Event event) {
    if (closed) {
      return;
    }
    if (Thread.currentThread() == thread) {
      ownEvents.add(event);
    } else if (event instanceof Event.RequestArrived arrived) {
      publishArrival(arrived);
    } else {
      publishOutcome(event);
    }
  }

  private void publishOutcome(Event event) {
    while (!ring.tryPublishEvent(EVENT_TRANSLATOR, event)) {
      if (closed) {
        return;
      }
      LockSupport.parkNanos(FULL_RING_PARK_NANOS);
    }
  }

  private void publishArrival(Event.RequestArrived arrived) {
    boolean hasSpace = ring.remainingCapacity() > reservedEntries;
    if (!hasSpace || !ring.tryPublishEvent(EVENT_TRANSLATOR, arrived)) {
      overflow.accept(arrived);
    }
  }

  /**
   * Reads the state of the reducer between two events.
   *
   * @param query runs on the loop's thread; must not change the state
   * @param <T> the type of the result
   * @return the result; fails with {@link ErrorKind#NOT_READY} if the loop is closed or the ring is
   *     full
   */
  public <T> CompletableFuture<T> query(Supplier<T> query) {
    CompletableFuture<T> result = new CompletableFuture<>();
    if (Thread.currentThread() == thread) {
      completeQuery(query, result);
    } else if (closed
        || !ring.tryPublishEvent(QUERY_TRANSLATOR, () -> completeQuery(query, result))) {
      result.completeExceptionally(
          new LarkkeelException(ErrorKind.NOT_READY, "The node is too busy or stops."));
    }
    return result;
  }

  private static <T> void completeQuery(Supplier<T> query, CompletableFuture<T> result) {
    try {
      result.complete(query.get());
    } catch (RuntimeException e) {
      result.completeExceptionally(e);
    }
  }

  /**
   * Returns the number of events and queries in the ring buffer.
   *
   * @return the number of used entries
   */
  public long queuedEvents() {
    return ring.getBufferSize() - ring.remainingCapacity();
  }

  private void consume(RingEntry entry) {
    Event event = entry.event;
    Runnable query = entry.query;
    entry.event = null;
    entry.query = null;
    if (query != null) {
      query.run();
    }
    if (event != null) {
      apply(event);
    }
    for (Event next = ownEvents.poll(); next != null; next = ownEvents.poll()) {
      apply(next);
    }
  }

  private void apply(Event event) {
    Event inOrder = hasLastTime ? EventTimes.notBefore(event, lastTime) : event;
    hasLastTime = true;
    lastTime = inOrder.at();
    try {
      reducer.apply(inOrder, effects);
    } catch (RuntimeException e) {
      log.error("event=reducer_failed type={}", event.getClass().getSimpleName(), e);
    }
  }

  /** Ends the thread without applying the queued events, as a crash would. */
  void abort() {
    closed = true;
    disruptor.halt();
  }

  /** Applies the queued events for a bounded time, then ends the thread. */
  @Override
  public void close() {
    if (closed) {
      return;
    }
    closed = true;
    try {
      disruptor.shutdown(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (TimeoutException e) {
      log.warn("event=loop_closed_early waiting={}", queuedEvents());
      disruptor.halt();
    }
  }

  /** Logs exceptions that the loop's own handling did not catch; the loop continues. */
  private static final class FailureLogger implements ExceptionHandler<RingEntry> {
    @Override
    public void handleEventException(Throwable e, long sequence, RingEntry entry) {
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
