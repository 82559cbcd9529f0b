/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.relay.EarlyRefusal;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RelayRouter;
import org.larkkeel.relay.UpstreamPath;
import org.larkkeel.time.BootClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Applies events to the router one after the other on one I/O thread, and submits a tick when the
 * router has something due.
 *
 * <p>Events that are submitted while effects are executed are queued. {@link #submit} is safe for
 * use by several threads; the router is used by the I/O thread only.
 *
 * @since 0.1
 */
public final class RelayLoop implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(RelayLoop.class);

  private final XnioIoThread thread;
  private final RelayRouter router;
  private final BootClock clock;
  private final Deque<RelayEvent> queue = new ArrayDeque<>();
  private Consumer<RelayEffect> setEffectSink = e -> {};
  private Runnable afterBatch = () -> {};
  private LongConsumer turnListener = late -> {};
  private volatile boolean closed;
  private boolean applying;
  private XnioExecutor.Key timer;
  private long timerAt = Long.MAX_VALUE;
  private long suspendedNanos;
  private final StallDetector stalls;
  private final XnioExecutor.Key heartbeat;

  /** Creates a loop that runs a router on a thread. */
  public RelayLoop(XnioIoThread thread, RelayRouter router, BootClock clock) {
    this.thread = thread;
    this.router = router;
    this.clock = clock;
    this.stalls = new StallDetector(clock::nanoTime);
    this.heartbeat =
        thread.executeAtInterval(
            this::turned, StallDetector.PERIOD.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Sets the consumer that executes effects. Must be called before the first event. */
  public void setEffectSink(Consumer<RelayEffect> sink) {
    setEffectSink = sink;
  }

  /** Sets an action that runs after each batch of events. Must be called before the first event. */
  public void setAfterBatch(Runnable action) {
    afterBatch = action;
  }

  /**
   * Sets a listener that is told on the loop's thread, every {@link StallDetector#PERIOD}, how late
   * the loop runs its timers. Must be called on that thread.
   */
  void setTurnListener(LongConsumer lateNanos) {
    turnListener = lateNanos;
  }

  /** Returns the thread of the loop. */
  XnioIoThread thread() {
    return thread;
  }

  /** Returns the current time of the clock that events carry, nanoseconds. */
  public long now() {
    return clock.nanoTime();
  }

  /**
   * Returns whether an incarnation of an upstream accepts requests now. Must be called on the
   * loop's thread.
   */
  boolean acceptsRequests(UpstreamIncarnation upstream) {
    return router.acceptsRequests(now(), upstream);
  }

  /**
   * Returns the refusal of a call whose head was read, as {@link RelayRouter#earlyRefusal}. Must be
   * called on the loop's thread.
   */
  Optional<EarlyRefusal> earlyRefusal(String host, String path, CallMetadata metadata) {
    return router.earlyRefusal(now(), host, path, metadata.size(), metadata.key());
  }

  /**
   * Returns whether an incarnation of an upstream has a rate limit. Must be called on the loop's
   * thread.
   */
  boolean isRateLimited(UpstreamIncarnation upstream) {
    return router.isRateLimited(upstream);
  }

  /**
   * Returns the path by which requests to an incarnation of an upstream are sent now. Must be
   * called on the loop's thread.
   */
  UpstreamPath path(UpstreamIncarnation upstream) {
    return router.path(upstream);
  }

  /** Stops applying events. */
  @Override
  public void close() {
    closed = true;
    heartbeat.remove();
  }

  /** Returns whether the loop was closed. */
  boolean isClosed() {
    return closed;
  }

  /** Applies an event after the events submitted before it. */
  public void submit(RelayEvent event) {
    if (closed) {
      return;
    }
    if (Thread.currentThread() != thread) {
      thread.execute(() -> submit(event));
      return;
    }
    queue.add(event);
    if (applying) {
      return;
    }
    applying = true;
    try {
      for (RelayEvent next = queue.poll(); next != null; next = queue.poll()) {
        reportSuspension(next.at());
        reportStall(next.at());
        apply(next);
      }
    } finally {
      applying = false;
    }
    afterBatch.run();
    scheduleTick();
  }

  /** Reports a suspension of the machine to the router before the next event is applied. */
  private void reportSuspension(long at) {
    long total = clock.suspendedNanos();
    if (total > suspendedNanos) {
      long newlySuspended = total - suspendedNanos;
      suspendedNanos = total;
      apply(new RelayEvent.Resumed(at, newlySuspended));
    }
  }

  /** Reports a stall of the loop to the router before the next event is applied. */
  private void reportStall(long at) {
    long nanos = stalls.takeStallNanos();
    if (nanos > 0) {
      apply(new RelayEvent.Stalled(at, nanos));
    }
  }

  private void turned() {
    long nanos = stalls.takeStallNanos();
    turnListener.accept(stalls.turned());
    if (nanos > 0) {
      submit(new RelayEvent.Stalled(now(), nanos));
    }
  }

  private void apply(RelayEvent event) {
    try {
      router.apply(event, setEffectSink);
    } catch (RuntimeException e) {
      log.error("event=reducer_failed type={}", event.getClass().getSimpleName(), e);
    }
  }

  private void scheduleTick() {
    long due = router.nextDue();
    if (due >= timerAt) {
      return;
    }
    if (timer != null) {
      timer.remove();
    }
    timerAt = due;
    timer = thread.executeAfter(this::tick, Math.max(1, due - now()), TimeUnit.NANOSECONDS);
  }

  private void tick() {
    timer = null;
    timerAt = Long.MAX_VALUE;
    submit(new RelayEvent.Ticked(now()));
  }
}
