/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.larkkeel.lib.RequestId;
import org.larkkeel.relay.ReservationRequest;

/**
 * The client side of reservations: sends the pending reservations to the coordinator until they are
 * granted, and detects a coordinator that does not answer.
 *
 * <p>Each report has a number, which the answers of the coordinator repeat. So the client knows
 * which requests the coordinator has received, and how long it takes to answer.
 *
 * <p>Invariants: a request that the coordinator has not answered is sent at least every {@link
 * #RESEND_NANOS}, any other pending request at least every {@link #REFRESH_NANOS}. Not thread-safe.
 */
final class ReservationClient {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long NANOS_PER_MICRO = 1_000L;

  /** The interval after which unanswered requests are sent again, because a message may be lost. */
  static final long RESEND_NANOS = 30 * NANOS_PER_MILLI;

  /**
   * The interval after which answered requests are sent again while they are pending. With 5 calls
   * that wait at each of 87 nodes, repeating all of them every {@link #RESEND_NANOS} exceeds the
   * link of a coordinator.
   */
  static final long REFRESH_NANOS = 150 * NANOS_PER_MILLI;

  /**
   * The maximum time without a message from a coordinator that has no request to answer; it sends
   * total loads every 400 ms.
   */
  private static final long INACTIVITY_NANOS = 1_300 * NANOS_PER_MILLI;

  /**
   * The number of last reports whose time is kept, a power of two. At one report every 20 ms it
   * covers 1.2 s, three times the longest timeout.
   */
  private static final int KEPT_REPORTS = 64;

  private final LongSupplier clock;
  private final Timer timer;
  private final Runnable sendReport;
  private final Listener listener;
  private Optional<PeerTable.Peer> coordinator = Optional.empty();
  private ImmutableList<ReservationRequest> requests = ImmutableList.of();

  /** The requests of the last report, with the number of the first report that contained each. */
  private Map<RequestId, Long> firstReports = new HashMap<>();

  /** The reports with requests that the coordinator has not answered, the oldest first. */
  private final Deque<Sent> unanswered = new ArrayDeque<>();

  /**
   * The requests that were granted since the last report; one that is still pending was not taken.
   */
  private final Set<RequestId> granted = new HashSet<>();

  private final long[] reportNanos = new long[KEPT_REPORTS];
  private long lastReport;
  private long lastAnswered;
  private long lastRequestsNanos;
  private long lastReceivedNanos;
  private long wakeUpNanos = Long.MAX_VALUE;

  private record Sent(long number, long nanos) {}

  /** A change of the pending reservations since the last report. */
  enum Change {
    /** The same requests are pending. */
    NONE,
    /** Some requests are no longer pending, or a grant was not taken, and no request is new. */
    UPDATED,
    /** A request is new; the coordinator must be notified at once. */
    ADDED
  }

  /** Why a coordinator counts as failed. */
  enum Cause {
    /** It did not answer a report with requests in time. */
    NO_ANSWER,
    /** Nothing was received from it for a long time. */
    SILENT
  }

  /**
   * The failure of a coordinator.
   *
   * @param cause the cause
   * @param waitedNanos the time without a message since the oldest unanswered report, or since the
   *     last message
   * @param limitNanos the maximum of that time
   */
  record Failure(Cause cause, long waitedNanos, long limitNanos) {}

  /** Schedules actions. */
  interface Timer {
    /** Runs an action after a delay in nanoseconds. */
    void after(long nanos, Runnable action);
  }

  /** Is notified of the answers of coordinators, and of a coordinator that does not answer. */
  interface Listener {
    /** Called when the coordinator did not answer in time or became unresponsive. */
    void coordinatorFailed(PeerTable.Peer coordinator, Failure failure);

    /** Called when a coordinator, or the former one, has answered a report after some time. */
    void answered(PeerTable.Peer peer, long nanos);
  }

  ReservationClient(LongSupplier clock, Timer timer, Runnable sendReport, Listener listener) {
    this.clock = clock;
    this.timer = timer;
    this.sendReport = sendReport;
    this.listener = listener;
  }

  /** Sets the coordinator; empty if there is none or it is this node. */
  void setCoordinator(Optional<PeerTable.Peer> next) {
    if (!next.equals(coordinator)) {
      coordinator = next;
      lastReceivedNanos = clock.getAsLong();
      lastAnswered = lastReport;
      unanswered.clear();
      firstReports = new HashMap<>();
    }
  }

  /** Returns whether reservations are requested from a peer. */
  boolean requests(PeerTable.Peer peer) {
    return coordinator.isPresent() && coordinator.get() == peer;
  }

  /** Returns the pending reservations. */
  ImmutableList<ReservationRequest> requests() {
    return requests;
  }

  /** Updates the pending reservations and returns what of it the coordinator does not know. */
  Change updateRequests(ImmutableList<ReservationRequest> current) {
    requests = current;
    if (coordinator.isEmpty()) {
      return Change.NONE;
    }
    ImmutableSet<RequestId> ids = requestIds();
    if (!firstReports.keySet().containsAll(ids)) {
      return Change.ADDED;
    }
    boolean isGrantNotTaken = granted.stream().anyMatch(ids::contains);
    return isGrantNotTaken || ids.size() < firstReports.size() ? Change.UPDATED : Change.NONE;
  }

  private ImmutableSet<RequestId> requestIds() {
    return requests.isEmpty()
        ? ImmutableSet.of()
        : requests.stream().map(ReservationRequest::call).collect(ImmutableSet.toImmutableSet());
  }

  /** Records that the coordinator granted a request. */
  void granted(RequestId call) {
    granted.add(call);
  }

  /** Returns the number of the next report. */
  long nextReport() {
    return lastReport + 1;
  }

  /** Records that a report with the number {@link #nextReport} was sent to the coordinator. */
  void reported() {
    lastReport++;
    granted.clear();
    long nowNanos = clock.getAsLong();
    reportNanos[index(lastReport)] = nowNanos;
    if (coordinator.isEmpty() || requests.isEmpty()) {
      firstReports = new HashMap<>();
      unanswered.clear();
      return;
    }
    Map<RequestId, Long> reported = new HashMap<>();
    for (RequestId id : requestIds()) {
      reported.put(id, firstReports.getOrDefault(id, lastReport));
    }
    firstReports = reported;
    unanswered.add(new Sent(lastReport, nowNanos));
    lastRequestsNanos = nowNanos;
    scheduleWakeUp();
  }

  private static int index(long report) {
    return (int) (report & (KEPT_REPORTS - 1));
  }

  /** Schedules the next wake-up, for sending again or for the timeout, whichever is earlier. */
  private void scheduleWakeUp() {
    if (coordinator.isEmpty() || requests.isEmpty()) {
      return;
    }
    long dueNanos = lastRequestsNanos + resendIntervalNanos();
    if (!unanswered.isEmpty()) {
      dueNanos = Math.min(dueNanos, unansweredSinceNanos() + timeoutNanos());
    }
    if (dueNanos < wakeUpNanos) {
      long scheduledNanos = dueNanos;
      wakeUpNanos = scheduledNanos;
      timer.after(Math.max(0, scheduledNanos - clock.getAsLong()), () -> wakeUp(scheduledNanos));
    }
  }

  private long resendIntervalNanos() {
    boolean allAnswered = firstReports.values().stream().allMatch(n -> n <= lastAnswered);
    return allAnswered ? REFRESH_NANOS : RESEND_NANOS;
  }

  private long unansweredSinceNanos() {
    return Math.max(lastReceivedNanos, unanswered.getFirst().nanos());
  }

  private long timeoutNanos() {
    return coordinator.get().answerTime.timeoutNanos();
  }

  private void wakeUp(long scheduledNanos) {
    if (scheduledNanos != wakeUpNanos) {
      return;
    }
    wakeUpNanos = Long.MAX_VALUE;
    long lateNanos = clock.getAsLong() - scheduledNanos;
    if (lateNanos < RESEND_NANOS) {
      checkCoordinator();
    } else if (!unanswered.isEmpty()) {
      // This node was held up, and answers may wait in its socket: the timeout starts again.
      lastReceivedNanos = clock.getAsLong();
    }
    if (coordinator.isPresent()
        && !requests.isEmpty()
        && clock.getAsLong() - lastRequestsNanos >= resendIntervalNanos()) {
      sendReport.run();
    }
    scheduleWakeUp();
  }

  /** Notifies the listener if the coordinator has not answered in time. */
  void checkCoordinator() {
    if (coordinator.isEmpty()) {
      return;
    }
    long nowNanos = clock.getAsLong();
    PeerTable.Peer peer = coordinator.get();
    long silentNanos = nowNanos - lastReceivedNanos;
    long waitedNanos = unanswered.isEmpty() ? 0 : nowNanos - unansweredSinceNanos();
    long limitNanos = timeoutNanos();
    // Whatever the listener chooses, the next failure needs a whole timeout again.
    if (waitedNanos >= limitNanos) {
      lastReceivedNanos = nowNanos;
      listener.coordinatorFailed(peer, new Failure(Cause.NO_ANSWER, waitedNanos, limitNanos));
    } else if (silentNanos > INACTIVITY_NANOS) {
      lastReceivedNanos = nowNanos;
      listener.coordinatorFailed(peer, new Failure(Cause.SILENT, silentNanos, INACTIVITY_NANOS));
    }
  }

  /**
   * Records a message from a peer.
   *
   * @param from the peer
   * @param answered the number of the last report that the peer has received from this node; empty
   *     in messages of older versions, with which every request counts as unanswered
   * @return whether the peer is the coordinator
   */
  boolean received(PeerTable.Peer from, Optional<ReportNumber> answered) {
    answered.ifPresent(a -> recordAnswerTime(from, a));
    if (!requests(from)) {
      return false;
    }
    lastReceivedNanos = clock.getAsLong();
    answered.map(ReportNumber::number).filter(n -> n <= lastReport).ifPresent(this::answered);
    return true;
  }

  private void answered(long number) {
    lastAnswered = Math.max(lastAnswered, number);
    while (!unanswered.isEmpty() && unanswered.getFirst().number() <= number) {
      unanswered.removeFirst();
    }
  }

  /** Records the answer time; it may be an answer of a peer that is no longer the coordinator. */
  private void recordAnswerTime(PeerTable.Peer from, ReportNumber answer) {
    if (answer.number() > lastReport || answer.number() <= lastReport - KEPT_REPORTS) {
      return;
    }
    long roundTripNanos = clock.getAsLong() - reportNanos[index(answer.number())];
    long nanos = Math.max(0, roundTripNanos - answer.heldMicros() * NANOS_PER_MICRO);
    from.answerTime.record(nanos);
    listener.answered(from, nanos);
  }
}
