/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import java.util.OptionalInt;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.quota.TokenLimit;

/**
 * A workspace for which calls are relayed, with its quota.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the name, which is sent to upstreams
 * @param limit the limit of all calls of the workspace together
 * @param unit the unit in which the limit is counted
 * @param plainTokens the tokens that are counted for a call without a declared size
 * @param priority the first part of the rank of its calls, from 0 to {@link CallRank#MAX_PRIORITY};
 *     empty if the rule's priority counts instead
 * @since 0.1
 */
public record RelayWorkspace(
    WorkspaceName name, TokenLimit limit, QuotaUnit unit, long plainTokens, OptionalInt priority) {
  /** The unit of a quota. */
  public enum QuotaUnit {
    /** Each call counts as one. */
    CALLS,

    /** The tokens of the prompt plus the maximum number of tokens to generate. */
    TOKENS
  }

  /**
   * Validates the components.
   *
   * @throws IllegalArgumentException if {@code plainTokens} is negative or the priority is out of
   *     range
   */
  public RelayWorkspace {
    if (plainTokens < 0) {
      throw new IllegalArgumentException("plainTokens is " + plainTokens + ": use 0 or more");
    }
    priority.ifPresent(CallRank::checkPriority);
  }

  /** Creates a workspace without a priority. */
  public RelayWorkspace(WorkspaceName name, TokenLimit limit, QuotaUnit unit, long plainTokens) {
    this(name, limit, unit, plainTokens, OptionalInt.empty());
  }

  /** Returns the units that a call takes from the quota. */
  public long cost(CallSize size) {
    return switch (unit) {
      case CALLS -> 1;
      case TOKENS -> {
        long tokens = (long) size.prompt() + size.maxOutput();
        yield tokens > 0 ? tokens : plainTokens;
      }
    };
  }
}
