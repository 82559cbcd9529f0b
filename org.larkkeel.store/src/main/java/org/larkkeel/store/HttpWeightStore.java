/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import java.util.concurrent.CompletableFuture;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.store.internal.http.HttpWeightClient;
import org.larkkeel.store.order.ModelVersion;
import org.larkkeel.store.order.PullResult;
import org.larkkeel.store.order.WeightStore;
import org.xnio.XnioWorker;

/**
 * A client of the weight store over HTTP. Thread-safe.
 *
 * @since 0.1
 */
public final class HttpWeightStore implements WeightStore, AutoCloseable {
  private final HttpWeightClient calls;

  /**
   * Creates a client, which opens no connection before the first call.
   *
   * @param options the address and limits of the store
   * @param worker runs the I/O
   * @param scheduler completes the futures
   */
  public HttpWeightStore(HttpClientOptions options, XnioWorker worker, Scheduler scheduler) {
    this.calls = new HttpWeightClient(options, worker, scheduler);
  }

  @Override
  public CompletableFuture<PullResult> pull(UpstreamName upstream, ModelVersion model) {
    return calls.pull(upstream, model);
  }

  /**
   * Closes the idle connections; calls in progress continue until they are answered or time out.
   */
  @Override
  public void close() {
    calls.close();
  }
}
