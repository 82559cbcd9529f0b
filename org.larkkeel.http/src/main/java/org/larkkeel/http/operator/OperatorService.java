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
 * What a node does for operators; the API puts it on HTTP.
 *
 * <p>No method blocks. A future that fails carries a {@link org.larkkeel.errors.LarkkeelException}.
 * Implementations are safe for use by several threads.
 *
 * @since 0.1
 */
public interface OperatorService {
  /**
   * Proposes a change.
   *
   * <p>The call is idempotent by the id of the change: if the log already has a change of that id,
   * the outcome is {@link ProposalOutcome.Accepted} with its revision, so that a client may repeat
   * the call at another node after a lost answer.
   *
   * @param change the change, with author and time set by the API
   * @param dryRun whether it is only checked
   * @return the outcome; fails with {@link org.larkkeel.errors.ErrorKind#STORE_UNAVAILABLE} if the
   *     log can not be written
   */
  CompletableFuture<ProposalOutcome> propose(Change change, DryRun dryRun);

  /**
   * The newest accepted configuration that the node can know.
   *
   * @return the configuration with its revision
   */
  CompletableFuture<Configuration> configuration();

  /**
   * Reads accepted changes.
   *
   * @param from the first revision wanted
   * @param limit the most entries, at least 1
   * @return entries by ascending revision
   */
  CompletableFuture<AuditPage> audit(Revision from, int limit);

  /**
   * Tells why a request would go where, without running it.
   *
   * @param request describes the request
   * @return the explanation from this node's point of view
   */
  CompletableFuture<RouteExplanation> explain(ExplainRequest request);

  /**
   * The state of this node.
   *
   * @return the status
   */
  CompletableFuture<NodeStatus> status();

  /**
   * Tells where a revision is in force.
   *
   * @param revision the revision; {@link Revision#NONE} asks for the newest accepted one
   * @return the nodes known to this node and how far they are
   */
  CompletableFuture<RolloutStatus> rollout(Revision revision);

  /**
   * Begins the graceful shutdown of this node: it turns unready, finishes requests in progress and
   * ends. Repeating the call has no further effect.
   *
   * @return done when the drain has begun
   */
  CompletableFuture<Void> drain();
}
