/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import java.util.OptionalInt;

/**
 * The rank of a call in the queues for capacity; a smaller rank is more urgent.
 *
 * <p>A pair, because one number cannot say both that a workspace precedes others and that, within
 * the workspace, one rule precedes another. Immutable and safe for use by several threads.
 *
 * @param first the workspace's priority if it has one, else the rule's, from 0 to {@link
 *     #MAX_PRIORITY}
 * @param second the rule's priority, from 0 to {@link #MAX_PRIORITY}
 * @since 0.1
 */
public record CallRank(int first, int second) implements Comparable<CallRank> {
  /** The maximum priority of a workspace or a rule; the minimum is 0. */
  public static final int MAX_PRIORITY = 999;

  /** The least urgent rank, which is that of calls whose rank is unknown. */
  public static final CallRank LOWEST = new CallRank(MAX_PRIORITY, MAX_PRIORITY);

  /**
   * Validates the priorities.
   *
   * @throws IllegalArgumentException if a priority is out of range
   */
  public CallRank {
    checkPriority(first);
    checkPriority(second);
  }

  /**
   * Returns the rank of a call.
   *
   * @param workspacePriority the priority of the call's workspace, if it has one
   * @param rulePriority the priority of the call's rule
   * @throws IllegalArgumentException if a priority is out of range
   */
  public static CallRank of(OptionalInt workspacePriority, int rulePriority) {
    return new CallRank(workspacePriority.orElse(rulePriority), rulePriority);
  }

  /**
   * Checks that a priority is in range.
   *
   * @throws IllegalArgumentException if it is not
   */
  static void checkPriority(int priority) {
    if (priority < 0 || priority > MAX_PRIORITY) {
      throw new IllegalArgumentException("priority is " + priority + ": use 0 to " + MAX_PRIORITY);
    }
  }

  /** Returns whether this rank is more urgent than another. */
  public boolean isMoreUrgentThan(CallRank other) {
    return compareTo(other) < 0;
  }

  @Override
  public int compareTo(CallRank other) {
    int c = Integer.compare(first, other.first);
    return c != 0 ? c : Integer.compare(second, other.second);
  }

  @Override
  public String toString() {
    return first + "." + second;
  }
}
