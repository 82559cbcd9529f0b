/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** An in-memory store: objects, versions and the history that watches deliver. */
public final class InMemoryStore {
  private final Map<String, TreeMap<String, StoredObject>> collections = new HashMap<>();
  private final List<Change> history = new ArrayList<>();
  private final List<StoredObject> created = new ArrayList<>();
  private final List<Runnable> observers = new ArrayList<>();
  private final ManualScheduler.Process process;
  private StoreVersion version = new StoreVersion(0, 1);
  private StoreVersion historyStart = StoreVersion.NONE;
  private boolean outage;
  private int reads;
  private int writes;
  private int watches;

  /** Creates an empty store that runs as its own process. */
  public InMemoryStore(ManualScheduler scheduler) {
    this.process = scheduler.newProcess();
  }

  /** Starts or ends an outage. */
  public void setOutage(boolean down) {
    outage = down;
  }

  boolean isDown() {
    return outage;
  }

  /** A backup of a store. */
  public record Backup(Map<String, TreeMap<String, StoredObject>> collections, StoreVersion at) {}

  /** Creates a backup of the store. */
  public Backup backUp() {
    Map<String, TreeMap<String, StoredObject>> copied = new HashMap<>();
    collections.forEach((name, objects) -> copied.put(name, new TreeMap<>(objects)));
    return new Backup(copied, version);
  }

  /**
   * Restores the store from a backup. Version numbers used since the backup are assigned again, in
   * a new era.
   */
  public void restore(Backup backup) {
    version = new StoreVersion(version.era() + 1, backup.at().number());
    collections.clear();
    backup.collections().forEach((name, objects) -> collections.put(name, withCurrentEra(objects)));
    history.clear();
    historyStart = version;
    List.copyOf(observers).forEach(Runnable::run);
  }

  private TreeMap<String, StoredObject> withCurrentEra(TreeMap<String, StoredObject> objects) {
    TreeMap<String, StoredObject> now = new TreeMap<>();
    objects.forEach(
        (name, o) -> {
          StoreVersion changed = new StoreVersion(version.era(), o.resourceVersion().number());
          now.put(name, new StoredObject(o.key(), o.kind(), changed, o.spec()));
        });
    return now;
  }

  /** Discards the history, so that watches from earlier versions fail as expired. */
  public void discardHistory() {
    historyStart = version;
    history.clear();
  }

  /** Returns the number of gets and lists so far. */
  public int reads() {
    return reads;
  }

  /** Returns the number of creates, updates and deletes so far. */
  public int writes() {
    return writes;
  }

  /** Returns the number of watches so far. */
  public int watches() {
    return watches;
  }

  /** Returns all objects of a collection, ordered by name. */
  public ImmutableList<StoredObject> all(String collection) {
    return ImmutableList.copyOf(objects(collection).values());
  }

  /** Returns all objects ever created, including deleted ones. */
  public ImmutableList<StoredObject> created() {
    return ImmutableList.copyOf(created);
  }

  ManualScheduler.Process process() {
    return process;
  }

  StoredObject get(ObjectKey key) {
    reads++;
    return find(key).orElseThrow(() -> failure(new ObjectApiFailure.NotFound(), key));
  }

  ObjectPage list(ListQuery q) {
    reads++;
    ImmutableList.Builder<StoredObject> items = ImmutableList.builder();
    int n = 0;
    String last = "";
    for (StoredObject o : objects(q.collection()).tailMap(q.continueToken(), false).values()) {
      if (!o.key().name().startsWith(q.prefix())) {
        continue;
      }
      if (n == q.limit()) {
        return new ObjectPage(items.build(), version, last);
      }
      items.add(o);
      last = o.key().name();
      n++;
    }
    return new ObjectPage(items.build(), version, "");
  }

  StoredObject create(ObjectKey key, String kind, JsonNode spec) {
    writes++;
    if (find(key).isPresent()) {
      throw failure(new ObjectApiFailure.AlreadyExists(), key);
    }
    StoredObject o = put(key, kind, spec);
    created.add(o);
    return o;
  }

  StoredObject update(ObjectKey key, String kind, JsonNode spec, StoreVersion resourceVersion) {
    writes++;
    checkVersion(key, resourceVersion);
    return put(key, kind, spec);
  }

  Void delete(ObjectKey key, StoreVersion resourceVersion) {
    writes++;
    StoredObject o = checkVersion(key, resourceVersion);
    objects(key.collection()).remove(key.name());
    version = version.next();
    record(
        new Change(
            version,
            key.collection(),
            new WatchEvent.Deleted(new StoredObject(key, o.kind(), version, o.spec()))));
    return null;
  }

  void countWatch() {
    watches++;
  }

  /**
   * Returns the changes of a collection after a version; empty if the history since then is not
   * available.
   */
  Optional<List<WatchEvent>> changesSince(String collection, StoreVersion from) {
    if (historyStart.isAfter(from) || !from.isSameEraAs(version) || from.isAfter(version)) {
      return Optional.empty();
    }
    return Optional.of(
        history.stream()
            .filter(c -> c.version.isAfter(from) && c.collection.equals(collection))
            .map(c -> c.event)
            .toList());
  }

  StoreVersion version() {
    return version;
  }

  void observe(Runnable observer) {
    observers.add(observer);
  }

  private Optional<StoredObject> find(ObjectKey key) {
    return Optional.ofNullable(objects(key.collection()).get(key.name()));
  }

  private TreeMap<String, StoredObject> objects(String collection) {
    return collections.computeIfAbsent(collection, c -> new TreeMap<>());
  }

  private StoredObject checkVersion(ObjectKey key, StoreVersion resourceVersion) {
    StoredObject o = find(key).orElseThrow(() -> failure(new ObjectApiFailure.NotFound(), key));
    if (!o.resourceVersion().equals(resourceVersion)) {
      throw failure(new ObjectApiFailure.Conflict(), key);
    }
    return o;
  }

  private StoredObject put(ObjectKey key, String kind, JsonNode spec) {
    if (spec.toString().length() > ObjectApi.MAX_OBJECT_BYTES) {
      throw failure(new ObjectApiFailure.TooLarge(), key);
    }
    version = version.next();
    StoredObject o = new StoredObject(key, kind, version, spec.deepCopy());
    objects(key.collection()).put(key.name(), o);
    record(new Change(version, key.collection(), new WatchEvent.Changed(o)));
    return o;
  }

  private void record(Change c) {
    history.add(c);
    List.copyOf(observers).forEach(Runnable::run);
  }

  static ObjectApiException failure(ObjectApiFailure f, ObjectKey key) {
    return new ObjectApiException(f, key.toString());
  }

  private record Change(StoreVersion version, String collection, WatchEvent event) {}
}
