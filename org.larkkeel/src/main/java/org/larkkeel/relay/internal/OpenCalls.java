/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.lib.RequestId;
import org.larkkeel.relay.RelayEffect;

/**
 * The calls without a final answer, and the release of their resources when they end.
 *
 * <p>Not thread-safe.
 */
final class OpenCalls {
  private static final long RETRY_AFTER_MILLIS = 200;
  private static final long MILLI = 1_000_000L;

  private final Core core;
  private final Map<RequestId, CallState> calls = new HashMap<>();

  OpenCalls(Core core) {
    this.core = core;
  }

  void add(CallState c) {
    calls.put(c.call.id(), c);
  }

  /** Returns the call if it has no final answer yet. */
  Optional<CallState> find(RequestId id) {
    return Optional.ofNullable(calls.get(id));
  }

  boolean contains(CallState c) {
    return calls.containsKey(c.call.id());
  }

  int size() {
    return calls.size();
  }

  /** Returns a copy of all calls. */
  List<CallState> all() {
    return List.copyOf(calls.values());
  }

  /** Records that an attempt has ended, for whatever reason. */
  void attemptEnded(long at, AttemptState a) {
    a.retryPermit().ifPresent(p -> p.abandon(at));
    core.evacuation.attemptEnded(a);
    core.attempts.ended(a);
  }

  /**
   * Removes a call and releases its reservation, its quota tokens, and its prefilled prompt if no
   * upstream took it over.
   */
  void remove(CallState c) {
    calls.remove(c.call.id());
    core.prefillResults.free(c);
    core.reservations.remove(c);
    core.quotas.remove(c);
    core.permits.remove(c);
    core.paths.remove(c);
    core.resumedStreams.remove(c);
    c.releaseReservation();
  }

  /** Cancels the attempt in flight of a call, if there is one. */
  void cancelAttempt(long at, CallState c) {
    AttemptState a = c.attempt;
    if (a != null) {
      core.emit(new RelayEffect.Cancel(a.id()));
      attemptEnded(at, a);
    }
  }

  /** Fails a call that has no upstream's answer, with the default Retry-After. */
  void fail(long at, CallState c, ErrorKind kind, String detail) {
    fail(at, c, kind, RETRY_AFTER_MILLIS, detail);
  }

  /**
   * Fails a call that has no upstream's answer.
   *
   * @param retryAfterMillis the milliseconds after which the caller may retry
   */
  void fail(long at, CallState c, ErrorKind kind, long retryAfterMillis, String detail) {
    remove(c);
    core.answers.end(at, c, kind, retryAfterMillis, detail);
    core.reservations.placePending(at);
  }

  /** Fails a call whose deadline has passed. */
  void failPastDeadline(long at, CallState c) {
    ErrorKind kind = c.runCount > 0 ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.OVERLOADED;
    fail(at, c, kind, "no answer after " + (at - c.arrivedAt) / MILLI + " ms");
  }
}
