/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.config;

import org.larkkeel.config.Problems;
import org.larkkeel.lib.Revision;

/**
 * The result of a proposed change.
 *
 * @since 0.1
 */
public sealed interface ProposeResult {

  /**
   * The change is accepted and durable.
   *
   * @param revision the revision that the change produced, never null
   * @param warnings possible mistakes in the change, never null
   */
  record Accepted(Revision revision, Problems warnings) implements ProposeResult {}

  /**
   * Another change of the same objects was accepted after the base revision.
   *
   * @param other the conflicting change, never null
   */
  record Conflict(AuditEntry other) implements ProposeResult {}

  /**
   * The resulting configuration would not be valid.
   *
   * @param problems all problems of that configuration, never null
   */
  record Invalid(Problems problems) implements ProposeResult {}

  /** The store is unreachable; the change is not accepted and will not be accepted later. */
  record Unavailable() implements ProposeResult {}

  /**
   * The store's answer was lost. Look for the change's id in the audit trail, or propose the change
   * again.
   */
  record OutcomeUnknown() implements ProposeResult {}
}
