/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import org.larkkeel.lib.WorkspaceName;

/**
 * The refusal of a call by its head, because the quota of its workspace is known to be used up.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param workspace the workspace, never null
 * @param tokens the tokens that the call would take
 * @param retryAfterMillis the delay after which the caller may try again, positive
 * @since 0.1
 */
public record EarlyRefusal(WorkspaceName workspace, long tokens, long retryAfterMillis) {
  /** Returns the text for the caller. */
  public String detail() {
    return "the quota of " + workspace + " is used up";
  }
}
