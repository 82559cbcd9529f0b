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
 * What a node has read from the store, as another takes it over.
 *
 * <p>Immutable and safe for use by several threads.
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
   * One collection.
   *
   * @param version the store's version of it; none if it is not newer than asked for
   * @param named its objects, in JSON
   */
  record Part(StoreVersion version, ArrayNode named) {
    /** The copy of a mirror, if it is newer. */
    static Part of(CollectionMirror mirror, StoreVersion after) {
      ArrayNode list = Json.object().putArray(OBJECTS);
      if (!mirror.version().isAfter(after)) {
        return new Part(StoreVersion.NONE, list);
      }
      for (StoredObject o : mirror.objects().values()) {
        ObjectNode n = list.addObject();
        n.put(NAME, o.key().name());
        n.put(VERSION, o.resourceVersion().toString());
        n.set(SPEC, o.spec());
      }
      return new Part(mirror.version(), list);
    }

    /** Its objects, as those of a collection; one that can not be read is left out. */
    ImmutableList<StoredObject> objects(String collection) {
      ImmutableList.Builder<StoredObject> objects = ImmutableList.builder();
      for (JsonNode n : named) {
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
      ArrayNode list = n.path(OBJECTS) instanceof ArrayNode a ? a : Json.object().putArray(OBJECTS);
      return new Part(StoreVersion.parse(n.path(VERSION).asText()), list);
    }

    private void write(ObjectNode to) {
      to.put(VERSION, version.toString());
      to.set(OBJECTS, named);
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
