/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.order;

import java.util.concurrent.CompletableFuture;
import org.larkkeel.lib.UpstreamName;

/**
 * The platform's store of weights. Safe for use by several threads.
 *
 * @since 0.1
 */
public interface WeightStore {
  /**
   * Has weights sent to an engine. May be repeated.
   *
   * @param upstream the engine
   * @param model the weights
   * @return what the store answered; never fails
   */
  CompletableFuture<PullResult> pull(UpstreamName upstream, ModelVersion model);
}
