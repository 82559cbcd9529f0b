/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import java.util.Arrays;

/**
 * Timers in a binary heap that knows each one's place, so that a cleared timer leaves nothing.
 *
 * <p>Invariant: the number of entries is the number of timers set. Not safe for use by several
 * threads.
 *
 * @since 0.1
 */
public final class TimerQueue {
  /** The time of the next timer if there is none. */
  public static final long NEVER = Long.MAX_VALUE;

  private static final int INITIAL_CAPACITY = 64;

  private Timer[] heap = new Timer[INITIAL_CAPACITY];
  private int size;

  /**
   * Sets a timer, or moves it if it is set.
   *
   * @param timer the timer
   * @param at when it is due, nanoseconds
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
    final int place = timer.index;
    size--;
    Timer last = heap[size];
    heap[size] = null;
    timer.index = Timer.UNSET;
    if (last != timer) {
      put(last, place);
      siftUp(place);
      siftDown(last.index);
    }
  }

  /**
   * Does what the timers due until a time are for, earliest first.
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
   * The time of the earliest timer.
   *
   * @return nanoseconds, or {@link #NEVER}
   */
  public long next() {
    return size == 0 ? NEVER : heap[0].at;
  }

  /**
   * The number of timers set.
   *
   * @return a count
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

  private void put(Timer timer, int place) {
    heap[place] = timer;
    timer.index = place;
  }

  private void siftUp(int start) {
    Timer timer = heap[start];
    int place = start;
    while (place > 0) {
      int parent = (place - 1) >>> 1;
      if (heap[parent].at <= timer.at) {
        break;
      }
      put(heap[parent], place);
      place = parent;
    }
    put(timer, place);
  }

  private void siftDown(int start) {
    Timer timer = heap[start];
    int place = start;
    while (2 * place + 1 < size) {
      int child = 2 * place + 1;
      if (child + 1 < size && heap[child + 1].at < heap[child].at) {
        child++;
      }
      if (heap[child].at >= timer.at) {
        break;
      }
      put(heap[child], place);
      place = child;
    }
    put(timer, place);
  }
}
