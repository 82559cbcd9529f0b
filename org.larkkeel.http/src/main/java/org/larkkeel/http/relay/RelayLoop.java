/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RelayRouter;
import org.larkkeel.time.BootClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Applies events to the router, one after the other, on one I/O thread, and ticks when something is
 * due.
 *
 * <p>Events that come up while effects are carried out wait for their turn. {@link #submit} is safe
 * for use by several threads; the router is touched by the I/O thread only.
 *
 * @since 0.1
 */
public final class RelayLoop implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(RelayLoop.class);

  private final XnioIoThread thread;
  private final RelayRouter router;
  private final BootClock clock;
  private final Deque<RelayEvent> queue = new ArrayDeque<>();
  private Consumer<RelayEffect> effects = e -> {};
  private Runnable after = () -> {};
  private volatile boolean closed;
  private boolean applying;
  private XnioExecutor.Key timer;
  private long timerAt = Long.MAX_VALUE;
  private long suspended;

  /** Runs a router on a thread. */
  public RelayLoop(XnioIoThread thread, RelayRouter router, BootClock clock) {
    this.thread = thread;
    this.router = router;
    this.clock = clock;
  }

  /** Sets who carries effects out; before the first event. */
  public void effects(Consumer<RelayEffect> sink) {
    effects = sink;
  }

  /** Sets what runs after each batch of events; before the first event. */
  public void afterEach(Runnable action) {
    after = action;
  }

  /** The time that events carry. */
  public long now() {
    return clock.nanoTime();
  }

  /** Whether requests may be sent to a life of an upstream still; on the loop's thread. */
  boolean mayReach(UpstreamLife upstream) {
    return router.mayReach(now(), upstream);
  }

  /** Whether an upstream limits its requests; on the loop's thread. */
  boolean isRateLimited(UpstreamLife upstream) {
    return router.isRateLimited(upstream);
  }

  /** Applies no more events. */
  @Override
  public void close() {
    closed = true;
  }

  /** Whether it applies no more events. */
  boolean isClosed() {
    return closed;
  }

  /** Applies an event, after those before it. */
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
        resume(next.at());
        apply(next);
      }
    } finally {
      applying = false;
    }
    after.run();
    arm();
  }

  /** Lets the router know that the machine was suspended before anything else is decided. */
  private void resume(long at) {
    long now = clock.suspendedNanos();
    if (now > suspended) {
      long since = now - suspended;
      suspended = now;
      apply(new RelayEvent.Resumed(at, since));
    }
  }

  private void apply(RelayEvent event) {
    try {
      router.apply(event, effects);
    } catch (RuntimeException e) {
      log.error("event=reducer_failed type={}", event.getClass().getSimpleName(), e);
    }
  }

  private void arm() {
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
