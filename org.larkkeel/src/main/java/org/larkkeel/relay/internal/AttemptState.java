/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import org.larkkeel.lib.AttemptId;
import org.larkkeel.relay.RelayEffect.Purpose;

/**
 * One send of a call.
 *
 * @param id the attempt
 * @param call whose it is
 * @param upstream where it went
 * @param purpose what for
 * @param sentAt when
 * @param repeat whether it was taken from the budget of repeats
 * @param units what it adds to the load of the upstream while it is in flight
 */
record AttemptState(
    AttemptId id,
    CallState call,
    UpstreamState upstream,
    Purpose purpose,
    long sentAt,
    boolean repeat,
    long units) {
  /** Whether it may run the call, or go on with its run. */
  boolean runs() {
    return !(purpose instanceof Purpose.ReadPrompt);
  }

  /** Whether it may begin a run of its own. */
  boolean beginsRun() {
    return runs() && !continues();
  }

  /** Whether the upstream that runs it reads its prompt as well. */
  boolean readsPrompt() {
    return purpose instanceof Purpose.Run || purpose instanceof Purpose.Fetch;
  }

  /** Whether it goes on with a run that began elsewhere. */
  boolean continues() {
    return purpose instanceof Purpose.Continue;
  }
}
