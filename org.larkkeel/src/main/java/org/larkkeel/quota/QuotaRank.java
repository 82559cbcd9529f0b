/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.quota;

/**
 * The rank of a call within the quota of its workspace.
 *
 * <p>Ranks have an effect only in a quota whose calls can have several. Immutable and safe for use
 * by several threads.
 *
 * @param order a smaller number is served first
 * @param group the group of the rank
 * @since 0.1
 */
public record QuotaRank(long order, Group group) {
  /** The rank of all calls of a quota whose calls have only one. */
  public static final QuotaRank ONLY = new QuotaRank(0, Group.ONLY);

  /** The groups that the quota coordinator distinguishes. */
  public enum Group {
    /** The calls of the quota have only one rank. */
    ONLY,

    /** The most urgent rank of the quota. */
    URGENT,

    /** A rank that is less urgent than another one of the quota. */
    OTHER
  }

  /** Returns whether the calls of the quota can have several ranks. */
  boolean isOneOfSeveral() {
    return group != Group.ONLY;
  }

  /** Returns whether this is the most urgent rank of several. */
  boolean isUrgent() {
    return group == Group.URGENT;
  }
}
