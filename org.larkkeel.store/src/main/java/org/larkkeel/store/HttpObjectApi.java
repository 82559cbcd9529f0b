/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.larkkeel.store.internal.http.HttpObjectClient;
import org.xnio.XnioWorker;

/**
 * A client of the object API over HTTP. It owns its connections; the worker and the scheduler
 * belong to the caller. Thread-safe.
 *
 * @since 0.1
 */
public final class HttpObjectApi implements ObjectApi, AutoCloseable {
  private final HttpObjectClient calls;

  /**
   * Creates a client, which opens no connection before the first call.
   *
   * @param options the address and limits of the service
   * @param worker runs the I/O
   * @param scheduler completes the futures
   */
  public HttpObjectApi(HttpClientOptions options, XnioWorker worker, Scheduler scheduler) {
    this.calls = new HttpObjectClient(options, worker, scheduler);
  }

  @Override
  public CompletableFuture<StoredObject> get(ObjectKey key) {
    return calls.get(key);
  }

  @Override
  public CompletableFuture<ObjectPage> list(ListQuery query) {
    return calls.list(query);
  }

  @Override
  public CompletableFuture<StoredObject> create(ObjectKey key, String kind, JsonNode spec) {
    return calls.create(key, kind, spec);
  }

  @Override
  public CompletableFuture<StoredObject> update(
      ObjectKey key, String kind, JsonNode spec, StoreVersion resourceVersion) {
    return calls.update(key, kind, spec, resourceVersion);
  }

  @Override
  public CompletableFuture<Void> delete(ObjectKey key, StoreVersion resourceVersion) {
    return calls.delete(key, resourceVersion);
  }

  @Override
  public Watch watch(
      String collection,
      StoreVersion resourceVersion,
      Duration timeout,
      Consumer<WatchEvent> listener) {
    return calls.watch(collection, resourceVersion, timeout, listener);
  }

  /**
   * Closes the idle connections; calls in progress continue until they are answered or time out.
   */
  @Override
  public void close() {
    calls.close();
  }
}
