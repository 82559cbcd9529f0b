/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * The objects of the platform, kept in memory.
 *
 * <p>Invariants: each write increases the resource version, which is common to all collections; a
 * stored object is never modified, only replaced. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class ObjectStore {
  private static final String METADATA = "metadata";
  private static final String NAME = "name";
  private static final String RESOURCE_VERSION = "resourceVersion";

  private final int historyLimit;
  private final Map<String, NavigableMap<String, ObjectNode>> collections = new HashMap<>();
  private final Deque<Event> history = new ArrayDeque<>();
  private long version;
  private long lastDroppedVersion;
  private long wakeCount;

  /** The types of watch events. */
  enum EventType {
    ADDED,
    MODIFIED,
    DELETED,
    BOOKMARK
  }

  /** One change of an object. */
  record Event(long version, String collection, EventType type, ObjectNode object) {}

  /**
   * A page of a collection, ordered by name. The next page starts after the name {@code next},
   * which is empty on the last page.
   */
  record Page(long version, List<ObjectNode> items, String next) {}

  /** All changes of a collection after a requested version, up to and including {@code version}. */
  record Changes(long version, List<Event> events) {}

  /**
   * Creates an empty store.
   *
   * @param historyLimit the maximum number of changes kept for watches
   */
  public ObjectStore(int historyLimit) {
    this.historyLimit = historyLimit;
  }

  synchronized ObjectNode get(String collection, String name) {
    ObjectNode object = collection(collection).get(name);
    if (object == null) {
      throw notFound(collection, name);
    }
    return object;
  }

  synchronized Page list(String collection, String prefix, String after, int limit) {
    List<ObjectNode> items = new ArrayList<>();
    NavigableMap<String, ObjectNode> remaining = collection(collection).tailMap(prefix, true);
    if (after.compareTo(prefix) >= 0) {
      remaining = collection(collection).tailMap(after, false);
    }
    String lastName = "";
    for (Map.Entry<String, ObjectNode> entry : remaining.entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      if (items.size() == limit) {
        return new Page(version, items, lastName);
      }
      items.add(entry.getValue());
      lastName = entry.getKey();
    }
    return new Page(version, items, "");
  }

  synchronized ObjectNode create(String collection, ObjectNode object) {
    String name = nameOf(object);
    if (collection(collection).containsKey(name)) {
      throw new RefusedException(409, "AlreadyExists", collection + "/" + name + " exists");
    }
    return put(collection, name, object, EventType.ADDED);
  }

  synchronized ObjectNode update(String collection, String name, ObjectNode object) {
    String expected = object.path(METADATA).path(RESOURCE_VERSION).asText();
    if (expected.isEmpty()) {
      throw invalid("metadata.resourceVersion is missing: send the version that was read");
    }
    if (!nameOf(object).equals(name)) {
      throw invalid(
          "metadata.name is \"" + nameOf(object) + "\": send \"" + name + "\" as in the path");
    }
    checkVersion(collection, name, get(collection, name), expected);
    return put(collection, name, object, EventType.MODIFIED);
  }

  /** Deletes an object if it has the expected version; an empty version matches any. */
  synchronized ObjectNode delete(String collection, String name, String expected) {
    ObjectNode current = get(collection, name);
    if (!expected.isEmpty()) {
      checkVersion(collection, name, current, expected);
    }
    collection(collection).remove(name);
    return recordChange(collection, current.deepCopy(), EventType.DELETED);
  }

  /**
   * Creates or replaces an object, regardless of its version.
   *
   * @param collection the collection
   * @param object the object, which is copied
   */
  public synchronized void upsert(String collection, ObjectNode object) {
    String name = nameOf(object);
    boolean exists = collection(collection).containsKey(name);
    put(collection, name, object, exists ? EventType.MODIFIED : EventType.ADDED);
  }

  /**
   * Deletes an object if it exists.
   *
   * @param collection the collection
   * @param name the object's name
   */
  public synchronized void deleteIfPresent(String collection, String name) {
    if (collection(collection).containsKey(name)) {
      delete(collection, name, "");
    }
  }

  /**
   * Waits for changes of a collection; returns none after the timeout or when watches are woken.
   */
  synchronized Changes awaitChanges(String collection, long after, long millis)
      throws InterruptedException {
    Changes changes = changes(collection, after);
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    long leftMillis = millis;
    long wakeCountAtStart = wakeCount;
    while (changes.events.isEmpty() && leftMillis > 0 && wakeCountAtStart == wakeCount) {
      wait(leftMillis);
      changes = changes(collection, after);
      leftMillis = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
    }
    return changes;
  }

  /** Wakes all waiting watches, also without a change. */
  public synchronized void wakeWatches() {
    wakeCount++;
    notifyAll();
  }

  private Changes changes(String collection, long after) {
    if (after < lastDroppedVersion) {
      throw new RefusedException(
          410, "Expired", "changes up to " + lastDroppedVersion + " are forgotten: list again");
    }
    List<Event> found = new ArrayList<>();
    var newestFirst = history.descendingIterator();
    while (newestFirst.hasNext()) {
      Event event = newestFirst.next();
      if (event.version <= after) {
        break;
      }
      if (event.collection.equals(collection)) {
        found.add(event);
      }
    }
    return new Changes(version, found.reversed());
  }

  private ObjectNode put(String collection, String name, ObjectNode object, EventType type) {
    ObjectNode copy = object.deepCopy();
    recordChange(collection, copy, type);
    collection(collection).put(name, copy);
    return copy;
  }

  private ObjectNode recordChange(String collection, ObjectNode object, EventType type) {
    version++;
    ((ObjectNode) object.get(METADATA)).put(RESOURCE_VERSION, Long.toString(version));
    history.addLast(new Event(version, collection, type, object));
    if (history.size() > historyLimit) {
      lastDroppedVersion = history.removeFirst().version;
    }
    notifyAll();
    return object;
  }

  private NavigableMap<String, ObjectNode> collection(String name) {
    return collections.computeIfAbsent(name, n -> new TreeMap<>());
  }

  private static void checkVersion(
      String collection, String name, ObjectNode current, String expected) {
    String actual = current.get(METADATA).get(RESOURCE_VERSION).asText();
    if (!actual.equals(expected)) {
      throw new RefusedException(
          409, "Conflict", collection + "/" + name + " is at " + actual + ", not at " + expected);
    }
  }

  private static String nameOf(ObjectNode object) {
    JsonNode name = object.path(METADATA).path(NAME);
    if (!name.isTextual() || name.textValue().isEmpty()) {
      throw invalid("metadata.name is missing: send a name");
    }
    return name.textValue();
  }

  private static RefusedException notFound(String collection, String name) {
    return new RefusedException(404, "NotFound", collection + "/" + name + " does not exist");
  }

  private static RefusedException invalid(String message) {
    return new RefusedException(400, "BadRequest", message);
  }
}
