/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.internal.http;

import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.xnio.XnioWorker;

/**
 * Notifies calls in progress of the end of the worker whose I/O threads serve them.
 *
 * <p>The connections of a worker do not report its end in all states: if an I/O thread closes a
 * connection while another thread writes to it, only the reading side is closed, and the connection
 * reports no failure.
 *
 * <p>Invariant: an action that was added before the end of the worker and not removed runs once;
 * one that is added later runs at once. One virtual thread waits for each worker until it ends.
 * Thread-safe.
 */
final class WorkerTermination {
  private static final Map<XnioWorker, WorkerTermination> BY_WORKER = new ConcurrentHashMap<>();

  private final Set<Runnable> actions = Collections.newSetFromMap(new IdentityHashMap<>());
  private boolean ended;

  private WorkerTermination() {}

  /** Returns the instance for a worker, which all clients of the worker share. */
  static WorkerTermination of(XnioWorker worker) {
    return BY_WORKER.computeIfAbsent(worker, WorkerTermination::start);
  }

  private static WorkerTermination start(XnioWorker worker) {
    WorkerTermination t = new WorkerTermination();
    Thread.ofVirtual().name("worker-termination").start(() -> t.await(worker));
    return t;
  }

  /**
   * Adds an action.
   *
   * @param action runs on any thread, must not block or throw
   */
  void add(Runnable action) {
    synchronized (this) {
      if (!ended) {
        actions.add(action);
        return;
      }
    }
    action.run();
  }

  /** Removes an action; does nothing if it was not added or has run. */
  synchronized void remove(Runnable action) {
    actions.remove(action);
  }

  private void await(XnioWorker worker) {
    try {
      worker.awaitTermination();
    } catch (InterruptedException e) {
      // Nothing interrupts this thread except the end of the JVM.
      return;
    }
    BY_WORKER.remove(worker);
    List<Runnable> toRun;
    synchronized (this) {
      ended = true;
      toRun = new ArrayList<>(actions);
      actions.clear();
    }
    toRun.forEach(Runnable::run);
  }
}
