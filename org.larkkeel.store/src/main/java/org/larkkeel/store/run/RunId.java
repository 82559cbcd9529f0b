/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.run;

import org.larkkeel.lib.IdempotencyKey;
import org.larkkeel.lib.WorkspaceName;

/**
 * The identity of a request: requests with equal workspace and key are the same. Immutable.
 *
 * @param workspace the workspace of the caller, never null
 * @param key the idempotency key that the caller chose, never null
 * @since 0.1
 */
public record RunId(WorkspaceName workspace, IdempotencyKey key) {

  @Override
  public String toString() {
    return workspace + ":" + key;
  }
}
