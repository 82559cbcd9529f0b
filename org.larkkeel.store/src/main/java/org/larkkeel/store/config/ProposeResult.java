/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.config;

import org.larkkeel.config.Problems;
import org.larkkeel.lib.Revision;

/**
 * The closed list of answers to a proposed change.
 *
 * @since 0.1
 */
public sealed interface ProposeResult {

  /**
   * The change is accepted, durably.
   *
   * @param revision the revision that it made
   * @param warnings what may not be meant, never null
   */
  record Accepted(Revision revision, Problems warnings) implements ProposeResult {}

  /**
   * Another change of the same objects was accepted after the base.
   *
   * @param other the other change, never null
   */
  record Conflict(AuditEntry other) implements ProposeResult {}

  /**
   * The configuration that would result is not valid.
   *
   * @param problems all that is wrong, never null
   */
  record Invalid(Problems problems) implements ProposeResult {}

  /** The store can not be reached: the change is not accepted and never will be. */
  record Unavailable() implements ProposeResult {}

  /** The answer was lost: look for the change's id in the audit trail, or propose it again. */
  record OutcomeUnknown() implements ProposeResult {}
}
