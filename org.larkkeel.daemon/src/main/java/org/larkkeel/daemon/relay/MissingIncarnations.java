/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import org.larkkeel.store.EntryProblem;
import org.larkkeel.store.EntryProblem.Reason;

/**
 * Decides whether an upstream entry without an incarnation is a problem.
 *
 * <p>On a platform whose upstreams announce their incarnation, every entry has one, and an entry
 * without it comes from another writer. Platforms on which no upstream announces it are supported
 * as well, and a single stray entry with an incarnation must not invalidate all others. Therefore
 * the majority of the entries decides. Stateless.
 */
final class MissingIncarnations {
  /** The problem of an entry without an incarnation where one is expected. */
  static final EntryProblem PROBLEM =
      new EntryProblem(Reason.MISSING, "start", "nothing", "a start, as most entries have");

  private MissingIncarnations() {}

  /**
   * Returns whether entries without an incarnation are problems, because most entries have one.
   *
   * @param without the number of readable entries without an incarnation
   * @param all the number of readable entries
   */
  static boolean areProblems(int without, int all) {
    return 2 * without < all;
  }
}
