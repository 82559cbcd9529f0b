/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.run;

import java.util.Optional;
import org.larkkeel.lib.HostName;

/**
 * The result of a claim.
 *
 * @since 0.1
 */
public sealed interface ClaimResult {

  /**
   * The claim is durable: the claimant may send the request once.
   *
   * @param token the ID of the attempt, as in the claim
   */
  record Claimed(RunToken token) implements ClaimResult {}

  /**
   * The request has already run.
   *
   * @param answer the recorded answer, empty if it was too large to keep or has since been dropped
   */
  record AlreadyDone(Optional<RecordedAnswer> answer) implements ClaimResult {}

  /** Another attempt, whose process may still run, has claimed the request. */
  record InProgress() implements ClaimResult {}

  /**
   * An earlier attempt may have run the request, or it is unknown whether this claim was recorded.
   * The request is not run again.
   */
  record Unknown() implements ClaimResult {}

  /** The key was used with another method, path or body. */
  record KeyReused() implements ClaimResult {}

  /** The claim was not recorded, so that the request was not run. */
  record Unavailable() implements ClaimResult {}

  /**
   * This host does not own the shard of the key; nothing was claimed.
   *
   * @param owner the owner according to the members known here; empty if that is this host, which
   *     has not taken the shard over yet, or if no members are known
   */
  record NotOwner(Optional<HostName> owner) implements ClaimResult {}
}
