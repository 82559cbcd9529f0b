/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.internal.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import org.larkkeel.store.ObjectApiException;
import org.larkkeel.store.ObjectApiFailure;
import org.larkkeel.store.ObjectKey;
import org.larkkeel.store.ObjectPage;
import org.larkkeel.store.StoreVersion;
import org.larkkeel.store.StoredObject;
import org.larkkeel.store.WatchEvent;

/** Converts objects and watch events from and to JSON. Stateless and thread-safe. */
public final class ObjectCodec {
  /** The API version of all objects. */
  public static final String API_VERSION = "larkkeel.org/v1";

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private ObjectCodec() {}

  /** Returns the JSON of an object, without a resource version if there is none. */
  public static ObjectNode toJson(ObjectKey key, String kind, JsonNode spec, StoreVersion version) {
    ObjectNode o = JsonNodeFactory.instance.objectNode();
    o.put("apiVersion", API_VERSION);
    o.put("kind", kind);
    ObjectNode metadata = o.putObject("metadata").put("name", key.name());
    if (!version.isNone()) {
      metadata.put("resourceVersion", Long.toString(version.number()));
    }
    o.set("spec", spec);
    return o;
  }

  static String toText(ObjectKey key, String kind, JsonNode spec, StoreVersion version) {
    try {
      return MAPPER.writeValueAsString(toJson(key, kind, spec, version));
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot write the spec of " + key + " as JSON", e);
    }
  }

  /** Parses JSON; throws an {@link ObjectApiException} if the body is malformed. */
  public static JsonNode parse(byte[] body) {
    try {
      return MAPPER.readTree(body);
    } catch (IOException e) {
      throw malformed(e.getMessage());
    }
  }

  static StoredObject object(String collection, JsonNode o) {
    String name = required(o.path("metadata").path("name"), "metadata.name").asText();
    StoreVersion version = version(o.path("metadata"));
    JsonNode spec = required(o.path("spec"), "spec");
    return new StoredObject(
        new ObjectKey(collection, name), o.path("kind").asText(), version, spec);
  }

  static ObjectPage page(String collection, JsonNode o) {
    ImmutableList.Builder<StoredObject> items = ImmutableList.builder();
    required(o.path("items"), "items").forEach(i -> items.add(object(collection, i)));
    JsonNode metadata = o.path("metadata");
    return new ObjectPage(items.build(), version(metadata), metadata.path("continue").asText(""));
  }

  static WatchEvent event(String collection, JsonNode o) {
    JsonNode object = required(o.path("object"), "object");
    String type = o.path("type").asText();
    return switch (type) {
      case "ADDED", "MODIFIED" -> new WatchEvent.Changed(object(collection, object));
      case "DELETED" -> new WatchEvent.Deleted(object(collection, object));
      case "BOOKMARK" -> new WatchEvent.Bookmark(version(object.path("metadata")));
      default -> throw malformed("unknown event type \"" + type + "\"");
    };
  }

  private static StoreVersion version(JsonNode metadata) {
    JsonNode v = required(metadata.path("resourceVersion"), "metadata.resourceVersion");
    return new StoreVersion(0, v.asLong());
  }

  private static JsonNode required(JsonNode node, String field) {
    if (node.isMissingNode()) {
      throw malformed(field + " is missing");
    }
    return node;
  }

  private static ObjectApiException malformed(String detail) {
    return new ObjectApiException(
        new ObjectApiFailure.Refused(0), "cannot parse the store's response: " + detail);
  }
}
