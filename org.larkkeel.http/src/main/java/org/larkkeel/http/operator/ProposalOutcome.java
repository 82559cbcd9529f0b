/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.operator;

import org.larkkeel.config.Change;
import org.larkkeel.config.Problems;
import org.larkkeel.lib.Revision;

/**
 * The outcome of a proposed change.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface ProposalOutcome {
  /**
   * The change was accepted or, in a dry run, would be accepted.
   *
   * @param revision the revision that contains the change; the current revision for a dry run
   * @param warnings warnings for the operator
   */
  record Accepted(Revision revision, Problems warnings) implements ProposalOutcome {}

  /**
   * Another change of the same objects was accepted first.
   *
   * @param other the change that was accepted first
   * @param revision the revision that it produced
   */
  record Conflicting(Change other, Revision revision) implements ProposalOutcome {}

  /**
   * The change is invalid.
   *
   * @param problems all problems of the change
   */
  record Refused(Problems problems) implements ProposalOutcome {}
}
