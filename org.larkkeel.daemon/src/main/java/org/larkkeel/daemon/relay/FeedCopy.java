/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.larkkeel.http.Json;
import org.larkkeel.store.CollectionMirror;
import org.larkkeel.store.ObjectKey;
import org.larkkeel.store.StoreVersion;
import org.larkkeel.store.StoredObject;

/**
 * A copy of the collections that a node has read from the store, for transfer to a peer.
 *
 * <p>Immutable and thread-safe.
 *
 * @param configurations the collection of configurations
 * @param upstreams the collection of upstreams
 */
record FeedCopy(Part configurations, Part upstreams) {
  private static final String CONFIGURATIONS = "configurations";
  private static final String UPSTREAMS = "upstreams";
  private static final String VERSION = "version";
  private static final String OBJECTS = "objects";
  private static final String NAME = "name";
  private static final String SPEC = "spec";

  /**
   * The copy of one collection.
   *
   * @param version the version of the collection; {@link StoreVersion#NONE} if it is not newer than
   *     requested
   * @param objectList the objects, in JSON
   */
  record Part(StoreVersion version, ArrayNode objectList) {
    /**
     * Returns the copy of a mirror, which is empty unless the mirror is newer than {@code after}.
     */
    static Part of(CollectionMirror mirror, StoreVersion after) {
      ArrayNode objects = Json.object().putArray(OBJECTS);
      if (!mirror.version().isAfter(after)) {
        return new Part(StoreVersion.NONE, objects);
      }
      for (StoredObject o : mirror.objects().values()) {
        ObjectNode n = objects.addObject();
        n.put(NAME, o.key().name());
        n.put(VERSION, o.resourceVersion().toString());
        n.set(SPEC, o.spec());
      }
      return new Part(mirror.version(), objects);
    }

    /**
     * Returns the objects of this copy as objects of a collection; unreadable ones are left out.
     */
    ImmutableList<StoredObject> objects(String collection) {
      ImmutableList.Builder<StoredObject> objects = ImmutableList.builder();
      for (JsonNode n : objectList) {
        object(collection, n).ifPresent(objects::add);
      }
      return objects.build();
    }

    private static Optional<StoredObject> object(String collection, JsonNode n) {
      try {
        ObjectKey key = new ObjectKey(collection, n.path(NAME).asText());
        return Optional.of(
            new StoredObject(
                key, collection, StoreVersion.parse(n.path(VERSION).asText()), n.path(SPEC)));
      } catch (IllegalArgumentException e) {
        return Optional.empty();
      }
    }

    private static Part read(JsonNode n) {
      ArrayNode objects =
          n.path(OBJECTS) instanceof ArrayNode a ? a : Json.object().putArray(OBJECTS);
      return new Part(StoreVersion.parse(n.path(VERSION).asText()), objects);
    }

    private void write(ObjectNode to) {
      to.put(VERSION, version.toString());
      to.set(OBJECTS, objectList);
    }
  }

  byte[] toBytes() {
    ObjectNode root = Json.object();
    configurations.write(root.putObject(CONFIGURATIONS));
    upstreams.write(root.putObject(UPSTREAMS));
    return Json.bytes(root);
  }

  static FeedCopy fromJson(JsonNode root) {
    return new FeedCopy(Part.read(root.path(CONFIGURATIONS)), Part.read(root.path(UPSTREAMS)));
  }
}
