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
 * The run records of all nodes, each asked at its owner.
 *
 * <p>Calls may be repeated: a token names its attempt. A future that fails tells nothing of what
 * the owner did. Implementations are safe for use by several threads and do not block.
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
   * Records how an attempt ended.
   *
   * @param key the key
   * @param token the attempt
   * @param outcome how it ended
   * @return what became of it
   */
  CompletableFuture<RecordResult> record(RunId key, RunToken token, RunOutcome outcome);
}
