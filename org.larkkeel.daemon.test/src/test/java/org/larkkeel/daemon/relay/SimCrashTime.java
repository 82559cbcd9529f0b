/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import java.util.OptionalLong;

/**
 * When a request crashes the engine that runs it. Immutable and thread-safe.
 *
 * @param firstEventMillis the time from the send to the first event; empty if there is none
 * @param afterSendMillis the time from the send to the crash
 */
record SimCrashTime(OptionalLong firstEventMillis, long afterSendMillis) {
  static final SimCrashTime BEFORE_FIRST_EVENT = before(80);

  /** Returns a crash before any event. */
  static SimCrashTime before(long millis) {
    return new SimCrashTime(OptionalLong.empty(), millis);
  }

  /** Returns a crash some time after the first event. */
  static SimCrashTime after(long firstEventMillis, long millis) {
    return new SimCrashTime(OptionalLong.of(firstEventMillis), firstEventMillis + millis);
  }
}
