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
 * A client of the platform's object API, with versioned objects, conditional updates and watches.
 *
 * <p>Contract: futures fail only with {@link ObjectApiException}. Futures complete and listeners
 * are called on the {@link Scheduler} of the implementation. Methods may be called from any thread
 * and do not block.
 *
 * @since 0.1
 */
public interface ObjectApi {
  /** The maximum size of an object, in bytes. */
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
   * @param query the collection, prefix, limit and position
   * @return the page
   */
  CompletableFuture<ObjectPage> list(ListQuery query);

  /**
   * Creates an object if none of that name exists.
   *
   * @param key the object
   * @param kind the kind of the object
   * @param spec the content of the object
   * @return the object as stored
   */
  CompletableFuture<StoredObject> create(ObjectKey key, String kind, JsonNode spec);

  /**
   * Replaces an object if its version is still the given one. A version of an earlier era always
   * conflicts.
   *
   * @param key the object
   * @param kind the kind of the object
   * @param spec the new content of the object
   * @param resourceVersion the expected version of the object
   * @return the object as stored
   */
  CompletableFuture<StoredObject> update(
      ObjectKey key, String kind, JsonNode spec, StoreVersion resourceVersion);

  /**
   * Deletes an object if its version is still the given one.
   *
   * @param key the object
   * @param resourceVersion the expected version of the object
   * @return a future that completes when the object is deleted
   */
  CompletableFuture<Void> delete(ObjectKey key, StoreVersion resourceVersion);

  /**
   * Returns the era that the newest answer stated; {@link StoreEra#NONE} if no answer stated one.
   */
  default StoreEra era() {
    return StoreEra.NONE;
  }

  /**
   * Watches a collection for changes. If the store is restored from a backup, the watch fails with
   * {@link ObjectApiFailure.Expired}.
   *
   * @param collection the collection
   * @param resourceVersion the version after which changes are delivered
   * @param timeout the time after which the store ends the watch
   * @param listener receives the events in order
   * @return the watch
   */
  Watch watch(
      String collection,
      StoreVersion resourceVersion,
      Duration timeout,
      Consumer<WatchEvent> listener);
}
