/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.HashSet;
import java.util.Set;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.relay.RelayCall;
import org.larkkeel.relay.RelayRule;
import org.larkkeel.relay.ServiceName;

/**
 * One call from its admission to its final answer.
 *
 * <p>Invariant: at most one attempt is in flight. Not safe for use by several threads.
 */
final class CallState {
  final RelayCall call;
  final RelayRule rule;
  final ServiceName service;
  final long arrivedAt;
  final long deadline;

  /** The upstreams to which it is not sent again. */
  final Set<UpstreamName> without = new HashSet<>();

  /** The attempt in flight; null if there is none. */
  AttemptState attempt;

  /** All sends. */
  int sends;

  /** Sends that count as arrivals at an upstream. */
  int arrivals;

  /** Sends that have run or may have. */
  int runs;

  /** Whether a prompt was sent to be read elsewhere, or is not to be. */
  boolean promptDone;

  /** Whether the caller has the beginning of a stream. */
  boolean began;

  /** When it began; 0 if not. */
  long beganAt;

  CallState(RelayCall call, RelayRule rule, ServiceName service, long arrivedAt, long deadline) {
    this.call = call;
    this.rule = rule;
    this.service = service;
    this.arrivedAt = arrivedAt;
    this.deadline = deadline;
  }

  /** Thousands of prompt tokens, or one for calls without a prompt: the unit of work. */
  double units() {
    return Math.max(1, call.promptTokens() / 1_000.0);
  }
}
