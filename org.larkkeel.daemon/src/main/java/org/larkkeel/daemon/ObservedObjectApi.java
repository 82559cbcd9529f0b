/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.larkkeel.store.ListQuery;
import org.larkkeel.store.ObjectApi;
import org.larkkeel.store.ObjectApiException;
import org.larkkeel.store.ObjectApiFailure;
import org.larkkeel.store.ObjectKey;
import org.larkkeel.store.ObjectPage;
import org.larkkeel.store.StoreEra;
import org.larkkeel.store.StoreVersion;
import org.larkkeel.store.StoredObject;
import org.larkkeel.store.Watch;
import org.larkkeel.store.WatchEvent;

/**
 * An object API that reports to {@link Readiness} whether the store answers. Safe for use by
 * several threads.
 */
final class ObservedObjectApi implements ObjectApi {
  private final ObjectApi target;
  private final Readiness readiness;

  ObservedObjectApi(ObjectApi target, Readiness readiness) {
    this.target = target;
    this.readiness = readiness;
  }

  @Override
  public CompletableFuture<StoredObject> get(ObjectKey key) {
    return observe(target.get(key));
  }

  @Override
  public CompletableFuture<ObjectPage> list(ListQuery query) {
    return observe(target.list(query));
  }

  @Override
  public CompletableFuture<StoredObject> create(ObjectKey key, String kind, JsonNode spec) {
    return observe(target.create(key, kind, spec));
  }

  @Override
  public CompletableFuture<StoredObject> update(
      ObjectKey key, String kind, JsonNode spec, StoreVersion resourceVersion) {
    return observe(target.update(key, kind, spec, resourceVersion));
  }

  @Override
  public CompletableFuture<Void> delete(ObjectKey key, StoreVersion resourceVersion) {
    return observe(target.delete(key, resourceVersion));
  }

  @Override
  public StoreEra era() {
    return target.era();
  }

  @Override
  public Watch watch(
      String collection,
      StoreVersion resourceVersion,
      Duration timeout,
      Consumer<WatchEvent> listener) {
    return target.watch(
        collection,
        resourceVersion,
        timeout,
        event -> {
          readiness.storeAnswered();
          listener.accept(event);
        });
  }

  private <T> CompletableFuture<T> observe(CompletableFuture<T> call) {
    return call.whenComplete((value, failure) -> onCompleted(failure));
  }

  private void onCompleted(Throwable failure) {
    ObjectApiFailure kind =
        failure == null ? null : ObjectApiException.failureOf(failure).orElse(null);
    switch (kind) {
      case ObjectApiFailure.Unavailable f -> readiness.storeUnreachable();
      case ObjectApiFailure.OutcomeUnknown f -> readiness.storeUnreachable();
      case null, default -> readiness.storeAnswered();
    }
  }
}
