/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamLife;

/**
 * Times at which something may be due. Those of calls and attempts that are over stay in and mean
 * nothing when they come.
 *
 * <p>Not safe for use by several threads.
 */
final class Timers {
  private final PriorityQueue<Due> queue = new PriorityQueue<>(Comparator.comparingLong(Due::at));

  /** What is due. */
  sealed interface Due {
    /** When. */
    long at();

    /** The final answer of a call. */
    record Deadline(long at, RequestId call) implements Due {}

    /** Room that other nodes see as well. */
    record Contest(long at) implements Due {}

    /** Room for a call. */
    record Room(long at, RequestId call) implements Due {}

    /** Runs at an upstream that leaves are to move. */
    record Evacuate(long at, UpstreamLife upstream) implements Due {}

    /** The longest that an order may take. */
    record OrderOver(long at, UpstreamLife upstream) implements Due {}

    /** The end of a move that was begun. */
    record MoveOver(long at, AttemptId attempt) implements Due {}

    /** The coordinator's answer for a call. */
    record Quota(long at, RequestId call) implements Due {}

    /** The longest wait of a call for a permit. */
    record Permit(long at, RequestId call) implements Due {}

    /** The answer of an attempt that may be made elsewhere. */
    record Patience(long at, AttemptId attempt) implements Due {}
  }

  void add(Due due) {
    queue.add(due);
  }

  /** The next one that is due by now; null if there is none. */
  Due poll(long at) {
    Due head = queue.peek();
    return head != null && head.at() <= at ? queue.poll() : null;
  }

  /** When the next is due; {@link Long#MAX_VALUE} if there is none. */
  long next() {
    Due head = queue.peek();
    return head == null ? Long.MAX_VALUE : head.at();
  }
}
