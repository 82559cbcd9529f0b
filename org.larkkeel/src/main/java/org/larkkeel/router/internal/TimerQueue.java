/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import java.util.Arrays;

/**
 * A binary heap of timers. Each timer knows its index, so a cleared timer is removed at once.
 *
 * <p>Invariant: the heap contains exactly the timers that are set. Not safe for use by several
 * threads.
 *
 * @since 0.1
 */
public final class TimerQueue {
  /** The value of {@link #next} if no timer is set. */
  public static final long NEVER = Long.MAX_VALUE;

  private static final int INITIAL_CAPACITY = 64;

  private Timer[] heap = new Timer[INITIAL_CAPACITY];
  private int size;

  /**
   * Sets a timer; moves it if it is already set.
   *
   * @param timer the timer
   * @param at the time at which the timer fires, in nanoseconds
   */
  public void set(Timer timer, long at) {
    if (!timer.isSet()) {
      add(timer);
    }
    timer.at = at;
    siftUp(timer.index);
    siftDown(timer.index);
  }

  /**
   * Clears a timer; does nothing if it is not set.
   *
   * @param timer the timer
   */
  public void clear(Timer timer) {
    if (!timer.isSet()) {
      return;
    }
    final int index = timer.index;
    size--;
    Timer last = heap[size];
    heap[size] = null;
    timer.index = Timer.UNSET;
    if (last != timer) {
      put(last, index);
      siftUp(index);
      siftDown(last.index);
    }
  }

  /**
   * Fires the timers that are due at or before a time, earliest first.
   *
   * @param now the time
   */
  public void fireDue(long now) {
    while (size > 0 && heap[0].at <= now) {
      Timer due = heap[0];
      clear(due);
      due.fire();
    }
  }

  /**
   * Returns the time of the earliest timer.
   *
   * @return nanoseconds; {@link #NEVER} if no timer is set
   */
  public long next() {
    return size == 0 ? NEVER : heap[0].at;
  }

  /**
   * Returns the number of timers that are set.
   *
   * @return the number
   */
  public int size() {
    return size;
  }

  private void add(Timer timer) {
    if (size == heap.length) {
      heap = Arrays.copyOf(heap, size * 2);
    }
    timer.at = NEVER;
    put(timer, size);
    size++;
  }

  private void put(Timer timer, int index) {
    heap[index] = timer;
    timer.index = index;
  }

  private void siftUp(int start) {
    Timer timer = heap[start];
    int index = start;
    while (index > 0) {
      int parent = (index - 1) >>> 1;
      if (heap[parent].at <= timer.at) {
        break;
      }
      put(heap[parent], index);
      index = parent;
    }
    put(timer, index);
  }

  private void siftDown(int start) {
    Timer timer = heap[start];
    int index = start;
    while (2 * index + 1 < size) {
      int child = 2 * index + 1;
      if (child + 1 < size && heap[child + 1].at < heap[child].at) {
        child++;
      }
      if (heap[child].at >= timer.at) {
        break;
      }
      put(heap[child], index);
      index = child;
    }
    put(timer, index);
  }
}
