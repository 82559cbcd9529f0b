/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fleet;

import java.nio.charset.StandardCharsets;
import org.larkkeel.bench.experiment.fake.Timeline;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.lib.RequestId;
import org.larkkeel.relay.CallSize;
import org.larkkeel.relay.RequestIdentity;

/**
 * A caller with one call: sends it, retries refused attempts after the Retry-After time, and
 * disconnects if it receives nothing for too long.
 *
 * <p>Invariant: the call ends with exactly one outcome. Not safe for use by several threads.
 */
final class Caller {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** The idle timeout of a stream's caller is the maximum of this and the two multiples below. */
  private static final double MIN_IDLE_TIMEOUT_MILLIS = 2_000;

  private static final double IDLE_TIMEOUT_PER_TARGET = 4;
  private static final double IDLE_TIMEOUT_PER_GAP = 8;

  /** The maximum wait before a retry, as a share of the time left until the deadline. */
  private static final double MAX_RETRY_WAIT_SHARE = 1.0 / 3;

  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int TOO_MANY_REQUESTS = 429;

  private final FleetModel model;
  private final FleetScenario.CallClass kind;
  private final String name;
  private final int prompt;
  private final int output;
  private final boolean announcesOutput;
  private final long startedAt;
  private final long deadlineAt;
  private int retriesLeft;
  private SimNode node;
  private RequestId call;
  private long firstEventAt = -1;
  private long lastActivityAt;
  private boolean isGapExceeded;
  private boolean isEnded;
  private Timeline.Timer idleTimer;

  Caller(
      FleetModel model,
      FleetScenario.CallClass kind,
      String name,
      int prompt,
      int output,
      boolean announcesOutput) {
    this.model = model;
    this.kind = kind;
    this.name = name;
    this.prompt = prompt;
    this.output = output;
    this.announcesOutput = announcesOutput;
    this.startedAt = model.time().now();
    this.deadlineAt = startedAt + (long) (kind.deadlineMillis() * NANOS_PER_MILLI);
    this.retriesLeft = kind.returns();
  }

  FleetScenario.CallClass kind() {
    return kind;
  }

  String name() {
    return name;
  }

  int prompt() {
    return prompt;
  }

  int output() {
    return output;
  }

  /** Returns the identity of the request, which is equal for all attempts of this caller. */
  RequestIdentity identity() {
    byte[] body = name.getBytes(StandardCharsets.UTF_8);
    return new RequestIdentity("POST", FleetModel.HOST, FleetModel.path(kind), "", body);
  }

  /** Returns the size that the caller declares. */
  CallSize size() {
    return kind.isStream()
        ? new CallSize(prompt, kind.maxOutputTokens(), announcesOutput ? output : 0)
        : CallSize.NONE;
  }

  /** Returns the time from the first attempt to the first event, or to the answer. */
  long firstEventNanos() {
    return firstEventAt - startedAt;
  }

  void start() {
    model.time().at(deadlineAt, this::disconnect);
    attempt();
  }

  private void attempt() {
    node = model.randomNodeExcept(node);
    call = null;
    lastActivityAt = model.time().now();
    restartIdleTimer();
    SimNode target = node;
    model.afterUpstreamDelay(
        () -> {
          if (!isEnded) {
            target.receiveCall(this);
          }
        });
  }

  boolean hasEnded() {
    return isEnded;
  }

  /** Records the id that the node gave to the call. */
  void onAccepted(RequestId id) {
    call = id;
  }

  /** Returns the time left until the deadline. */
  long remainingMillis() {
    return (deadlineAt - model.time().now()) / NANOS_PER_MILLI;
  }

  /**
   * Handles a connection that broke without an answer. Retries at once if that is safe, that is if
   * the node did not read the call or the call may run again.
   */
  void onConnectionLost(boolean read) {
    if (isEnded) {
      return;
    }
    if (retriesLeft == 0 || read && kind.isStream()) {
      end(CallOutcome.FAILED);
    } else {
      retriesLeft--;
      attempt();
    }
  }

  private void restartIdleTimer() {
    if (!kind.isStream()) {
      return;
    }
    if (idleTimer != null) {
      idleTimer.cancel();
    }
    double millis =
        Math.max(
            MIN_IDLE_TIMEOUT_MILLIS,
            Math.max(
                IDLE_TIMEOUT_PER_TARGET * kind.targetMillis(),
                IDLE_TIMEOUT_PER_GAP * kind.gapMillis()));
    idleTimer = model.time().after((long) (millis * NANOS_PER_MILLI), this::disconnect);
  }

  /** Sends an event of the stream from the node to the caller. */
  void sendEvent() {
    model.afterUpstreamDelay(this::receiveEvent);
  }

  private void receiveEvent() {
    if (isEnded) {
      return;
    }
    long now = model.time().now();
    if (firstEventAt < 0) {
      firstEventAt = now;
    } else {
      isGapExceeded |= now - lastActivityAt > kind.gapMillis() * NANOS_PER_MILLI;
    }
    lastActivityAt = now;
    restartIdleTimer();
  }

  /** Receives the complete answer. */
  void receiveAnswer() {
    if (isEnded) {
      return;
    }
    if (firstEventAt < 0) {
      firstEventAt = model.time().now();
    }
    boolean isOnTarget =
        !isGapExceeded && firstEventNanos() <= kind.targetMillis() * NANOS_PER_MILLI;
    end(isOnTarget ? CallOutcome.IN_TIME : CallOutcome.LATE);
  }

  /** Receives a refusal; retries if the status says that the call has not run. */
  void receiveRefusal(ErrorKind error, long retryAfterMillis) {
    if (isEnded) {
      return;
    }
    if (error == ErrorKind.QUARANTINED) {
      model.quarantined(this);
    }
    boolean isNotRun = error.status() == SERVICE_UNAVAILABLE || error.status() == TOO_MANY_REQUESTS;
    if (!isNotRun) {
      end(CallOutcome.FAILED);
    } else if (retriesLeft == 0) {
      end(CallOutcome.REFUSED);
    } else {
      retriesLeft--;
      long remainingNanos = deadlineAt - model.time().now();
      long waitNanos =
          Math.min(
              retryAfterMillis * NANOS_PER_MILLI, (long) (remainingNanos * MAX_RETRY_WAIT_SHARE));
      cancelIdleTimer();
      model
          .time()
          .after(
              waitNanos,
              () -> {
                if (!isEnded) {
                  attempt();
                }
              });
    }
  }

  /** Handles a stream that ended before the answer was complete. */
  void onStreamCut() {
    if (!isEnded) {
      end(CallOutcome.FAILED);
    }
  }

  private void disconnect() {
    if (isEnded) {
      return;
    }
    end(CallOutcome.LEFT);
    if (call != null) {
      RequestId abandoned = call;
      model.afterUpstreamDelay(() -> node.onDisconnect(abandoned));
    }
  }

  private void end(CallOutcome outcome) {
    isEnded = true;
    cancelIdleTimer();
    model.ended(this, outcome);
  }

  private void cancelIdleTimer() {
    if (idleTimer != null) {
      idleTimer.cancel();
    }
  }
}
