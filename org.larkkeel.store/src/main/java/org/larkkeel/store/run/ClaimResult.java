/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.run;

import java.util.Optional;
import org.larkkeel.lib.HostName;

/**
 * The closed list of answers to a claim.
 *
 * @since 0.1
 */
public sealed interface ClaimResult {

  /**
   * The claim is durable: the request may be sent, once.
   *
   * @param token names the attempt, as it was asked for
   */
  record Claimed(RunToken token) implements ClaimResult {}

  /**
   * The request has run.
   *
   * @param answer its answer, empty if that was too large to keep or has been dropped since
   */
  record AlreadyDone(Optional<RecordedAnswer> answer) implements ClaimResult {}

  /** Another live attempt is running the request. */
  record InProgress() implements ClaimResult {}

  /** An earlier attempt may have run the request; it is never run again. */
  record Unknown() implements ClaimResult {}

  /** The key was used with another body. */
  record KeyReused() implements ClaimResult {}

  /** The claim could not be kept: the request was not run. */
  record Unavailable() implements ClaimResult {}

  /**
   * Another host keeps the records of this key; nothing was claimed.
   *
   * @param owner the host by the members known here, empty if it is this one but it has not taken
   *     the records over yet
   */
  record NotOwner(Optional<HostName> owner) implements ClaimResult {}
}
