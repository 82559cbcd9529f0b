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
 * The calls without a final answer, and what becomes free again with each that ends.
 *
 * <p>Not safe for use by several threads.
 */
final class OpenCalls {
  private static final long RETRY_AFTER_MILLIS = 200;

  private final Parts parts;
  private final Map<RequestId, CallState> calls = new HashMap<>();

  OpenCalls(Parts parts) {
    this.parts = parts;
  }

  void add(CallState c) {
    calls.put(c.call.id(), c);
  }

  /** The call if it has no final answer yet. */
  Optional<CallState> find(RequestId id) {
    return Optional.ofNullable(calls.get(id));
  }

  boolean has(CallState c) {
    return calls.containsKey(c.call.id());
  }

  int size() {
    return calls.size();
  }

  /** All of them; a copy. */
  List<CallState> all() {
    return List.copyOf(calls.values());
  }

  /** Notes that an attempt is over, in whatever way. */
  void over(AttemptState a) {
    parts.evacuation.abandon(a);
    parts.attempts.over(a);
  }

  /**
   * Takes a call out; what was set aside for it, and its prompt if nobody took it, is free again.
   */
  void remove(CallState c) {
    calls.remove(c.call.id());
    parts.prompts.free(c);
    parts.rooms.remove(c);
    parts.quotas.remove(c);
    parts.permits.remove(c);
    c.moveOut();
  }

  /** Gives up the attempt that is in flight for a call, if there is one. */
  void cancel(CallState c) {
    AttemptState a = c.attempt;
    if (a != null) {
      parts.emit(new RelayEffect.Cancel(a.id()));
      over(a);
    }
  }

  /** Ends a call that has no upstream's answer. */
  void giveUp(long at, CallState c, ErrorKind kind, String detail) {
    giveUp(at, c, kind, RETRY_AFTER_MILLIS, detail);
  }

  /** As the other, with the milliseconds after which the caller may come back. */
  void giveUp(long at, CallState c, ErrorKind kind, long retryAfter, String detail) {
    remove(c);
    parts.answers.end(at, c, kind, retryAfter, detail);
    parts.rooms.admitWaiting(at);
  }
}
