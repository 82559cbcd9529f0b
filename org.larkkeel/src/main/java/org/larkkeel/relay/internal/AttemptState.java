/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.Optional;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.relay.RelayEffect.Purpose;
import org.larkkeel.relay.UpstreamPath;

/**
 * One attempt of a call.
 *
 * @param id the identifier of the attempt
 * @param call the call
 * @param upstream the upstream to which the attempt was sent
 * @param path the path by which the attempt was sent
 * @param purpose the purpose of the attempt
 * @param sentAt the time at which the attempt was sent
 * @param retry whether the attempt is a retry that counts against the retry budget
 * @param loadUnits the load that the attempt adds to the upstream while it is in flight
 * @param queuedUnits the load that the upstream had before the attempt, as far as was known
 */
record AttemptState(
    AttemptId id,
    CallState call,
    UpstreamState upstream,
    UpstreamPath path,
    Purpose purpose,
    long sentAt,
    Optional<RetryPermit> retryPermit,
    long loadUnits,
    long queuedUnits) {
  /** Records a sign that the upstream has received the attempt. */
  void received(long at) {
    retryPermit.ifPresent(p -> p.received(at));
  }

  /** Returns whether the attempt may run the call, or continue its run. */
  boolean mayRun() {
    return !(purpose instanceof Purpose.ReadPrompt);
  }

  /** Returns whether the attempt may start a run of its own. */
  boolean startsRun() {
    return mayRun() && !continuesRun();
  }

  /** Returns whether the upstream that runs the call also prefills its prompt. */
  boolean prefillsLocally() {
    return purpose instanceof Purpose.Run || purpose instanceof Purpose.Fetch;
  }

  /** Returns whether the attempt continues a run that began at another upstream. */
  boolean continuesRun() {
    return purpose instanceof Purpose.Continue;
  }
}
