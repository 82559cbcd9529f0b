/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import java.util.concurrent.CompletableFuture;
import org.larkkeel.config.Change;
import org.larkkeel.http.operator.AuditPage;
import org.larkkeel.http.operator.DryRun;
import org.larkkeel.http.operator.ProposalOutcome;
import org.larkkeel.lib.Revision;

/**
 * The log of accepted changes, as operators use it.
 *
 * <p>Implementations are safe for use by several threads and do not block. A future that fails
 * carries a {@link org.larkkeel.errors.LarkkeelException}.
 *
 * @since 0.1
 */
public interface ChangeLog {
  /**
   * Proposes a change.
   *
   * @param change the change, with author and time
   * @param dryRun whether it is only checked
   * @return the outcome
   */
  CompletableFuture<ProposalOutcome> propose(Change change, DryRun dryRun);

  /**
   * Reads accepted changes.
   *
   * @param from the first revision wanted
   * @param limit the most entries, at least 1
   * @return entries by ascending revision
   */
  CompletableFuture<AuditPage> audit(Revision from, int limit);
}
