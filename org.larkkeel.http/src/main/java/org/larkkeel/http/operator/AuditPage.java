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
 * One page of the log of accepted changes.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param entries the accepted changes, by ascending revision
 * @param next the first revision of the next page; {@link Revision#NONE} if this is the last page
 * @since 0.1
 */
public record AuditPage(List<Entry> entries, Revision next) {
  /** Makes a defensive copy of the list. */
  public AuditPage {
    entries = List.copyOf(entries);
  }

  /**
   * One accepted change.
   *
   * @param revision the revision that the change produced
   * @param change the change
   */
  public record Entry(Revision revision, Change change) {}
}
