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
 * What became of a proposed change.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface ProposalOutcome {
  /**
   * The change is accepted, or would be.
   *
   * @param revision the revision that contains it; after a dry run the present one
   * @param warnings what the operator should know
   */
  record Accepted(Revision revision, Problems warnings) implements ProposalOutcome {}

  /**
   * Another change of the same objects was accepted first.
   *
   * @param other the other change
   * @param revision its revision
   */
  record Conflicting(Change other, Revision revision) implements ProposalOutcome {}

  /**
   * The change is refused.
   *
   * @param problems every problem
   */
  record Refused(Problems problems) implements ProposalOutcome {}
}
