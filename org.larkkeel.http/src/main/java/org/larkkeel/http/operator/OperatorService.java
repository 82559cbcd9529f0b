/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.operator;

import java.util.concurrent.CompletableFuture;
import org.larkkeel.config.Change;
import org.larkkeel.config.Configuration;
import org.larkkeel.lib.Revision;

/**
 * The operations that a node offers to operators; {@link OperatorApi} exposes them over HTTP.
 *
 * <p>No method blocks. A future fails with a {@link org.larkkeel.errors.LarkkeelException}.
 * Implementations are safe for use by several threads.
 *
 * @since 0.1
 */
public interface OperatorService {
  /**
   * Proposes a change.
   *
   * <p>The call is idempotent by the id of the change: if the log already contains a change with
   * that id, the outcome is {@link ProposalOutcome.Accepted} with its revision. A client that got
   * no response may therefore retry the call at another node.
   *
   * @param change the change, with author and time set by the API
   * @param dryRun whether the change is only checked
   * @return the outcome; fails with {@link org.larkkeel.errors.ErrorKind#STORE_UNAVAILABLE} if the
   *     log of changes cannot be written
   */
  CompletableFuture<ProposalOutcome> propose(Change change, DryRun dryRun);

  /**
   * Returns the newest accepted configuration that this node can obtain.
   *
   * @return the configuration with its revision
   */
  CompletableFuture<Configuration> configuration();

  /**
   * Reads a page of accepted changes.
   *
   * @param from the first revision to return
   * @param limit the maximum number of entries, at least 1
   * @return the entries by ascending revision
   */
  CompletableFuture<AuditPage> audit(Revision from, int limit);

  /**
   * Explains the routing of a request without executing it.
   *
   * @param request the request to explain
   * @return the explanation, based on this node's known state
   */
  CompletableFuture<RouteExplanation> explain(ExplainRequest request);

  /**
   * Returns the state of this node.
   *
   * @return the status
   */
  CompletableFuture<NodeStatus> status();

  /**
   * Returns the rollout state of a revision.
   *
   * @param revision the revision; {@link Revision#NONE} for the newest accepted one
   * @return the rollout state over the nodes known to this node
   */
  CompletableFuture<RolloutStatus> rollout(Revision revision);

  /**
   * Starts the graceful shutdown of this node: it becomes unready, finishes requests in progress
   * and exits. Repeated calls have no further effect.
   *
   * @return a future that completes when the drain has started
   */
  CompletableFuture<Void> drain();
}
