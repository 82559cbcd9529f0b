/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.world;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.larkkeel.store.ListQuery;
import org.larkkeel.store.ObjectApiException;
import org.larkkeel.store.ObjectApiFailure;
import org.larkkeel.store.ObjectKey;
import org.larkkeel.store.ObjectPage;
import org.larkkeel.store.StoreVersion;
import org.larkkeel.store.StoredObject;
import org.larkkeel.store.WatchEvent;

/**
 * A fake of the platform's object store, with versions, conditional updates and a history for
 * watches.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class Store {
  private final Map<String, TreeMap<String, StoredObject>> collections = new TreeMap<>();
  private final List<Change> history = new ArrayList<>();
  private final List<Runnable> observers = new ArrayList<>();
  private StoreVersion version = new StoreVersion(0, 1);

  private record Change(StoreVersion version, String collection, WatchEvent event) {}

  StoredObject get(ObjectKey key) {
    return find(key).orElseThrow(() -> failure(new ObjectApiFailure.NotFound(), key));
  }

  ObjectPage list(ListQuery query) {
    ImmutableList.Builder<StoredObject> items = ImmutableList.builder();
    String last = "";
    int count = 0;
    for (StoredObject o :
        objects(query.collection()).tailMap(query.continueToken(), false).values()) {
      if (!o.key().name().startsWith(query.prefix())) {
        continue;
      }
      if (count == query.limit()) {
        return new ObjectPage(items.build(), version, last);
      }
      items.add(o);
      last = o.key().name();
      count++;
    }
    return new ObjectPage(items.build(), version, "");
  }

  StoredObject create(ObjectKey key, String kind, JsonNode spec) {
    if (find(key).isPresent()) {
      throw failure(new ObjectApiFailure.AlreadyExists(), key);
    }
    return put(key, kind, spec);
  }

  StoredObject update(ObjectKey key, String kind, JsonNode spec, StoreVersion resourceVersion) {
    checkVersion(key, resourceVersion);
    return put(key, kind, spec);
  }

  Void delete(ObjectKey key, StoreVersion resourceVersion) {
    StoredObject o = checkVersion(key, resourceVersion);
    objects(key.collection()).remove(key.name());
    version = version.next();
    StoredObject last = new StoredObject(key, o.kind(), version, o.spec());
    record(new Change(version, key.collection(), new WatchEvent.Deleted(last)));
    return null;
  }

  StoreVersion version() {
    return version;
  }

  List<WatchEvent> changesAfter(String collection, StoreVersion from) {
    return history.stream()
        .filter(c -> c.version.isAfter(from) && c.collection.equals(collection))
        .map(c -> c.event)
        .toList();
  }

  void addObserver(Runnable observer) {
    observers.add(observer);
  }

  /** Makes every watch check for changes and for an outage of the store. */
  void notifyWatches() {
    List.copyOf(observers).forEach(Runnable::run);
  }

  private Optional<StoredObject> find(ObjectKey key) {
    return Optional.ofNullable(objects(key.collection()).get(key.name()));
  }

  private TreeMap<String, StoredObject> objects(String collection) {
    return collections.computeIfAbsent(collection, c -> new TreeMap<>());
  }

  private StoredObject checkVersion(ObjectKey key, StoreVersion resourceVersion) {
    StoredObject o = get(key);
    if (!o.resourceVersion().equals(resourceVersion)) {
      throw failure(new ObjectApiFailure.Conflict(), key);
    }
    return o;
  }

  private StoredObject put(ObjectKey key, String kind, JsonNode spec) {
    version = version.next();
    StoredObject o = new StoredObject(key, kind, version, spec.deepCopy());
    objects(key.collection()).put(key.name(), o);
    record(new Change(version, key.collection(), new WatchEvent.Changed(o)));
    return o;
  }

  private void record(Change change) {
    history.add(change);
    notifyWatches();
  }

  private static ObjectApiException failure(ObjectApiFailure failure, ObjectKey key) {
    return new ObjectApiException(failure, key.toString());
  }
}
