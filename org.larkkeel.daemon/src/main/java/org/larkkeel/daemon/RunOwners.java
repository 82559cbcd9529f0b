/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import java.util.concurrent.CompletableFuture;
import org.larkkeel.store.run.ClaimRequest;
import org.larkkeel.store.run.ClaimResult;
import org.larkkeel.store.run.RecordResult;
import org.larkkeel.store.run.RunId;
import org.larkkeel.store.run.RunOutcome;
import org.larkkeel.store.run.RunToken;

/**
 * The run records of all nodes; each call is sent to the node that owns the record.
 *
 * <p>Calls are safe to retry, since the token identifies the attempt. A failed future does not
 * reveal whether the owner carried out the call. Implementations are safe for use by several
 * threads and do not block.
 *
 * @since 0.1
 */
public interface RunOwners {
  /**
   * Claims a run.
   *
   * @param request the claim
   * @return the owner's answer
   */
  CompletableFuture<ClaimResult> claim(ClaimRequest request);

  /**
   * Records the outcome of an attempt.
   *
   * @param key the run
   * @param token identifies the attempt that claimed the run
   * @param outcome the outcome of the attempt
   * @return the owner's answer
   */
  CompletableFuture<RecordResult> record(RunId key, RunToken token, RunOutcome outcome);
}
