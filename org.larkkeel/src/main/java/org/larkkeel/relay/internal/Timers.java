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
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.relay.ServiceName;

/**
 * The pending timers. Timers of calls and attempts that have ended remain and have no effect when
 * they are due.
 *
 * <p>Timers of paths and builds are queued apart, so that they do not change the order of others
 * that are due at the same time. Not thread-safe.
 */
final class Timers {
  private final PriorityQueue<Timer> queue =
      new PriorityQueue<>(Comparator.comparingLong(Timer::at));
  private final PriorityQueue<Timer> apartQueue =
      new PriorityQueue<>(Comparator.comparingLong(Timer::at));

  /** A timer. */
  sealed interface Timer {
    /** Returns the time at which the timer is due. */
    long at();

    /** The deadline of a call. */
    record Deadline(long at, RequestId call) implements Timer {}

    /**
     * The time at which pending calls are placed again: after the random delay for capacity that
     * other nodes see as well, a backoff, or a declined request.
     */
    record PlacementRetry(long at) implements Timer {}

    /** The time at which forecasts of waiting calls are reviewed. */
    record OverloadReview(long at) implements Timer {}

    /** The end of a call's maximum wait for a reservation. */
    record ReservationTimeout(long at, RequestId call) implements Timer {}

    /** The time at which the runs at a leaving upstream are to be moved. */
    record EvacuationStart(long at, UpstreamIncarnation incarnation) implements Timer {}

    /** The end of the maximum wait until the state of the store was read again. */
    record ConfirmationTimeout(long at, long number) implements Timer {}

    /** The time at which the state of the store is too old unless it was read again. */
    record ConfirmationOverdue(long at) implements Timer {}

    /** The end of the maximum wait of a call that arrived while the state was in doubt. */
    record HoldTimeout(long at, RequestId call) implements Timer {}

    /** The end of the maximum wait to learn the build of a stream. */
    record StreamLookupTimeout(long at, RequestId call) implements Timer {}

    /** The end of the maximum duration of an order. */
    record OrderTimeout(long at, UpstreamIncarnation incarnation) implements Timer {}

    /** The timeout of the second step of a move. */
    record MoveTimeout(long at, AttemptId attempt) implements Timer {}

    /** The end of a call's maximum wait for quota tokens. */
    record QuotaTimeout(long at, RequestId call) implements Timer {}

    /** The time at which the calls of a workspace that were refused by their heads are reported. */
    record EarlyRefusalsReport(long at, WorkspaceName workspace) implements Timer {}

    /** The end of a call's maximum wait for a permit. */
    record PermitTimeout(long at, RequestId call) implements Timer {}

    /** A timer of the builds of upstreams. */
    sealed interface OfBuilds extends Timer {}

    /** The time at which the builds that have served a service are reviewed. */
    record BuildReview(long at, ServiceName service) implements OfBuilds {}

    /** The end of the maximum wait until new builds of a service are recorded in the store. */
    record BuildRecordTimeout(long at, ServiceName service) implements OfBuilds {}

    /** A timer of the paths to upstreams. */
    sealed interface OfPath extends Timer {}

    /** The time at which an attempt without any answer makes its path suspect. */
    record SilenceCheck(long at, AttemptId attempt) implements OfPath {}

    /** The time at which the direct path to an upstream with a tunnel is probed. */
    record DirectPathCheck(long at, UpstreamIncarnation incarnation) implements OfPath {}

    /** The timeout of an attempt that another one may replace. */
    record AttemptTimeout(long at, AttemptId attempt) implements Timer {}
  }

  void add(Timer due) {
    if (due instanceof Timer.OfPath || due instanceof Timer.OfBuilds) {
      apartQueue.add(due);
    } else {
      queue.add(due);
    }
  }

  /** Removes and returns the next timer that is due by now; null if there is none. */
  Timer poll(long at) {
    PriorityQueue<Timer> next = apartNext() < callNext() ? apartQueue : queue;
    Timer head = next.peek();
    return head != null && head.at() <= at ? next.poll() : null;
  }

  private long callNext() {
    return due(queue);
  }

  private long apartNext() {
    return due(apartQueue);
  }

  private static long due(PriorityQueue<Timer> timers) {
    Timer head = timers.peek();
    return head == null ? Long.MAX_VALUE : head.at();
  }

  /** Returns the time at which the next timer is due; {@link Long#MAX_VALUE} if there is none. */
  long next() {
    return Math.min(callNext(), apartNext());
  }
}
