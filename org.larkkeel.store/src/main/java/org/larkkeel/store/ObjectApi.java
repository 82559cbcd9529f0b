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

/**
 * The platform's object API: versions, conditional updates and watches.
 *
 * <p>Contract: futures fail with {@link ObjectApiException} only. Futures complete, and listeners
 * are called, on the {@link Scheduler} that the implementation was given. Methods may be called by
 * any thread and do not block.
 *
 * @since 0.1
 */
public interface ObjectApi {
  /** The largest object that the platform keeps, in bytes. */
  int MAX_OBJECT_BYTES = 1 << 20;

  /**
   * Reads an object.
   *
   * @param key the object
   * @return the object
   */
  CompletableFuture<StoredObject> get(ObjectKey key);

  /**
   * Reads a page of a collection, ordered by name.
   *
   * @param query what to list
   * @return the page
   */
  CompletableFuture<ObjectPage> list(ListQuery query);

  /**
   * Creates an object if there is none of that name.
   *
   * @param key the object
   * @param kind its kind
   * @param spec its content
   * @return the object as kept
   */
  CompletableFuture<StoredObject> create(ObjectKey key, String kind, JsonNode spec);

  /**
   * Replaces an object if it still has a version. One of an era before is in conflict with any.
   *
   * @param key the object
   * @param kind its kind
   * @param spec its new content
   * @param resourceVersion the version that it must have
   * @return the object as kept
   */
  CompletableFuture<StoredObject> update(
      ObjectKey key, String kind, JsonNode spec, StoreVersion resourceVersion);

  /**
   * Deletes an object if it still has a version.
   *
   * @param key the object
   * @param resourceVersion the version that it must have
   * @return completes when it is gone
   */
  CompletableFuture<Void> delete(ObjectKey key, StoreVersion resourceVersion);

  /** The era of the store, by the newest answer; that of a store without eras if none says so. */
  default StoreEra era() {
    return StoreEra.NONE;
  }

  /**
   * Waits for changes of a collection. A watch whose store has come back from a copy fails as one
   * whose history is gone.
   *
   * @param collection the collection
   * @param resourceVersion tells changes after this version
   * @param timeout after which the store ends the watch
   * @param listener receives the events in order
   * @return the watch
   */
  Watch watch(
      String collection,
      StoreVersion resourceVersion,
      Duration timeout,
      Consumer<WatchEvent> listener);
}
