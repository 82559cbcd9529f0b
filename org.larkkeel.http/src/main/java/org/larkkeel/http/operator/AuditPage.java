/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.operator;

import java.util.List;
import org.larkkeel.config.Change;
import org.larkkeel.lib.Revision;

/**
 * A part of the log of accepted changes.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param entries by ascending revision
 * @param next where the next page begins; {@link Revision#NONE} if this is the last
 * @since 0.1
 */
public record AuditPage(List<Entry> entries, Revision next) {
  /** Copies the list. */
  public AuditPage {
    entries = List.copyOf(entries);
  }

  /**
   * One accepted change.
   *
   * @param revision the revision that it made
   * @param change the change
   */
  public record Entry(Revision revision, Change change) {}
}
