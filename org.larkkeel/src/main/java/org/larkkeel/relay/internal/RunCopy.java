/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Owns the handles of the copy that one move makes of a run.
 *
 * <p>The copy holds memory at its destination until a run continues from it or it is freed. Each
 * step of the move names the copy by a handle; the handles of the steps may be the same or
 * different. As a later step may build on what an earlier one has copied, no handle is freed before
 * the copy is settled.
 *
 * <p>Invariants: the copy is settled once, by {@link #used} or {@link #abandon}; from then on each
 * handle has been used or freed exactly once, also one that becomes known later. Not thread-safe.
 */
final class RunCopy {
  private final Consumer<String> free;
  private final Set<String> handles = new LinkedHashSet<>();
  private Optional<String> lastHandle = Optional.empty();
  private boolean settled;

  /**
   * Creates a copy without a handle.
   *
   * @param free frees the memory that a handle names
   */
  RunCopy(Consumer<String> free) {
    this.free = free;
  }

  /** Adds the handle by which a completed step names the copy. */
  void addHandle(String handle) {
    lastHandle = Optional.of(handle);
    if (handles.add(handle) && settled) {
      free.accept(handle);
    }
  }

  /** Returns the handle that was added last; empty if there is none. */
  Optional<String> lastHandle() {
    return lastHandle;
  }

  /** Settles the copy after a run has begun from the last handle; the other handles are freed. */
  void used() {
    lastHandle.ifPresent(handles::remove);
    abandon();
    lastHandle.ifPresent(handles::add);
  }

  /**
   * Settles the copy if it is not settled yet: no run will continue from it, so its handles are
   * freed.
   */
  void abandon() {
    if (!settled) {
      settled = true;
      handles.forEach(free);
    }
  }
}
