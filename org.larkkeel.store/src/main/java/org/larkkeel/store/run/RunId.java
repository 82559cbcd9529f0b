/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.run;

import org.larkkeel.lib.IdempotencyKey;
import org.larkkeel.lib.WorkspaceName;

/**
 * What makes two requests the same. Immutable.
 *
 * @param workspace the workspace of the caller, never null
 * @param key the caller's key, never null
 * @since 0.1
 */
public record RunId(WorkspaceName workspace, IdempotencyKey key) {

  @Override
  public String toString() {
    return workspace + ":" + key;
  }
}
