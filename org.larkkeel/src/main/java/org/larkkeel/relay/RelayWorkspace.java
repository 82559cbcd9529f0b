/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.quota.TokenLimit;

/**
 * One of those for whom calls are relayed, and what they may use.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name what upstreams are told
 * @param limit of all its calls together
 * @param unit what the limit counts
 * @param plainTokens the tokens of a call that does not tell its size
 * @since 0.1
 */
public record RelayWorkspace(
    WorkspaceName name, TokenLimit limit, QuotaUnit unit, long plainTokens) {
  /** What a quota counts. */
  public enum QuotaUnit {
    /** Each call is one. */
    CALLS,

    /** Tokens of the prompt and the most that may be generated. */
    TOKENS
  }

  /** Checks the numbers. */
  public RelayWorkspace {
    if (plainTokens < 0) {
      throw new IllegalArgumentException("plainTokens is " + plainTokens + ": use 0 or more");
    }
  }

  /** What a call takes from the quota. */
  public long cost(CallSize size) {
    return switch (unit) {
      case CALLS -> 1;
      case TOKENS -> {
        long tokens = (long) size.prompt() + size.mostOutput();
        yield tokens > 0 ? tokens : plainTokens;
      }
    };
  }
}
