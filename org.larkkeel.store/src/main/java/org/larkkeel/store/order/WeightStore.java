/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.order;

import java.util.concurrent.CompletableFuture;
import org.larkkeel.lib.UpstreamName;

/**
 * The platform's store of model weights. Thread-safe.
 *
 * @since 0.1
 */
public interface WeightStore {
  /**
   * Requests a transfer of weights to an engine. The request may be repeated safely.
   *
   * @param upstream the engine
   * @param model the model whose weights are transferred
   * @return the store's answer; the future never fails
   */
  CompletableFuture<PullResult> pull(UpstreamName upstream, ModelVersion model);
}
