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
 * <p>The copy holds memory at its destination until a run goes on from it or it is freed. Each step
 * of the move names it by a handle. The steps may name it by the same handle or by different ones;
 * as a later step may build on what an earlier one has copied, no handle is freed before the copy
 * is settled.
 *
 * <p>Invariants: the copy is settled once, by {@link #used} or {@link #giveUp}; from then on each
 * handle has been used or freed exactly once, also one that becomes known later. Not safe for use
 * by several threads.
 */
final class RunCopy {
  private final Consumer<String> free;
  private final Set<String> handles = new LinkedHashSet<>();
  private Optional<String> last = Optional.empty();
  private boolean settled;

  /**
   * Begins without a handle.
   *
   * @param free frees what a handle names
   */
  RunCopy(Consumer<String> free) {
    this.free = free;
  }

  /** A step is complete and names the copy by this handle. */
  void made(String handle) {
    last = Optional.of(handle);
    if (handles.add(handle) && settled) {
      free.accept(handle);
    }
  }

  /** The handle that was made known last; empty if there is none. */
  Optional<String> last() {
    return last;
  }

  /** A run has begun from the last handle; the others are freed. */
  void used() {
    last.ifPresent(handles::remove);
    giveUp();
    last.ifPresent(handles::add);
  }

  /** No run will go on from the copy. */
  void giveUp() {
    if (!settled) {
      settled = true;
      handles.forEach(free);
    }
  }
}
