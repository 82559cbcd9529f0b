/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;
import org.larkkeel.time.BootClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The single thread that runs the state machines of a node, with a bounded queue of commands.
 *
 * <p>The thread waits until the next command or deadline. Safe for use by several threads.
 */
final class CoreThread {
  private static final Logger LOG = LoggerFactory.getLogger(CoreThread.class);
  private static final int MAX_QUEUED = 8_192;
  private static final long JOIN_TIMEOUT_MILLIS = 1_000;

  private final LinkedBlockingQueue<Runnable> queue = new LinkedBlockingQueue<>(MAX_QUEUED);
  private final LongSupplier nextDeadline;
  private final Runnable dueWork;
  private final Thread thread;
  private volatile boolean stopped;

  /**
   * Creates a thread that does not run yet.
   *
   * @param nextDeadline returns the time when work is due, in nanoseconds; called on the thread
   * @param dueWork does the work that is due; called on the thread at each deadline and after each
   *     command
   */
  CoreThread(LongSupplier nextDeadline, Runnable dueWork) {
    this.nextDeadline = nextDeadline;
    this.dueWork = dueWork;
    this.thread = Thread.ofPlatform().daemon().name("peer-core").unstarted(this::run);
  }

  void start() {
    thread.start();
  }

  boolean isStopped() {
    return stopped;
  }

  /**
   * Queues a command, or drops it if the queue is full; for commands that may be lost, such as
   * datagrams.
   */
  void offer(Runnable command) {
    var unused = queue.offer(command);
  }

  /** Queues a command, or drops it and logs a warning if the queue is full. */
  void submit(Runnable command) {
    if (!queue.offer(command)) {
      LOG.warn("event=peer_command_dropped queued={}", queue.size());
    }
  }

  /**
   * Queues a command that completes a result, or fails the result with {@link ErrorKind#NOT_READY}
   * if the thread is stopped or the queue is full.
   */
  void submitOrFail(CompletableFuture<?> result, Runnable command) {
    if (stopped || !queue.offer(command)) {
      result.completeExceptionally(
          new LarkkeelException(
              ErrorKind.NOT_READY, stopped ? "this node is stopping" : "too many calls wait"));
    }
  }

  private void run() {
    while (!stopped) {
      try {
        step();
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException e) {
        LOG.error("event=peer_core_failed", e);
      }
    }
  }

  private void step() throws InterruptedException {
    long waitNanos = nextDeadline.getAsLong() - BootClock.SYSTEM.nanoTime();
    Runnable command = queue.poll(Math.max(0, waitNanos), TimeUnit.NANOSECONDS);
    if (command != null) {
      command.run();
    }
    dueWork.run();
  }

  /** Stops the thread; queued commands stay in the queue. Repeated calls do nothing. */
  void stop() {
    stopped = true;
    thread.interrupt();
  }

  /**
   * Runs the commands that are still queued after {@link #stop}, so that no caller waits for ever.
   */
  void runRemaining() {
    try {
      thread.join(JOIN_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    for (Runnable command = queue.poll(); command != null; command = queue.poll()) {
      command.run();
    }
  }
}
