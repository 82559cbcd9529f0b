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
 * The log of configuration changes, as the operator API uses it.
 *
 * <p>Implementations are safe for use by several threads and do not block. A future that fails
 * carries a {@link org.larkkeel.errors.LarkkeelException}.
 *
 * @since 0.1
 */
public interface ChangeLog {
  /**
   * Proposes a change of the configuration.
   *
   * @param change the change, with author and time
   * @param dryRun whether the change is only checked, not made
   * @return the outcome: accepted, conflicting or refused
   */
  CompletableFuture<ProposalOutcome> propose(Change change, DryRun dryRun);

  /**
   * Reads accepted changes.
   *
   * @param from the lowest revision to return
   * @param limit the maximum number of entries, at least 1
   * @return the entries in ascending order of revision
   */
  CompletableFuture<AuditPage> audit(Revision from, int limit);
}
