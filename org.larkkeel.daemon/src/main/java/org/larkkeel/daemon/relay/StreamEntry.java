/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.larkkeel.relay.BuildName;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.StreamBuild;
import org.larkkeel.relay.StreamId;
import org.larkkeel.store.EntryProblem;
import org.larkkeel.store.EntryProblem.Reason;
import org.larkkeel.store.ParseResult;

/**
 * An object of the collection in which nodes keep what a node that starts must know of streams.
 *
 * <p>Immutable and thread-safe.
 */
sealed interface StreamEntry {
  /** The name of the collection. */
  String COLLECTION = "relay-streams";

  /**
   * The builds that have served a service within the life of a stream.
   *
   * @param service the service
   * @param builds the builds
   * @param ending those of them that are about to be removed, unless a node finds them listed
   * @param complete whether no other build can have served
   * @param era the era of the store in which the entry was written; a store that was restored from
   *     a backup may lack builds that were added since
   */
  record Builds(
      ServiceName service,
      ImmutableSet<BuildName> builds,
      ImmutableSet<BuildName> ending,
      boolean complete,
      long era)
      implements StreamEntry {
    /** Creates an entry of which no build is about to be removed. */
    Builds(ServiceName service, ImmutableSet<BuildName> builds, boolean complete, long era) {
      this(service, builds, ImmutableSet.of(), complete, era);
    }

    /** Returns the name of the object of a service, whose own name may not be one of objects. */
    static String nameOf(ServiceName service) {
      return "builds-" + Hashing.murmur3_128().hashUnencodedChars(service.value());
    }

    ObjectNode toJson() {
      ObjectNode spec = JsonNodeFactory.instance.objectNode();
      spec.put(Fields.SERVICE, service.value());
      put(spec, Fields.BUILDS, builds);
      if (!ending.isEmpty()) {
        put(spec, Fields.ENDING, ending);
      }
      return spec.put(Fields.COMPLETE, complete).put(Fields.ERA, era);
    }
  }

  private static void put(ObjectNode spec, String field, ImmutableSet<BuildName> builds) {
    ArrayNode all = spec.putArray(field);
    builds.stream().map(BuildName::value).sorted().forEach(all::add);
  }

  /** Streams and the builds that began them. */
  record Streams(ImmutableList<StreamBuild> streams) implements StreamEntry {
    /** Encodes streams, grouped by service and build. */
    static ObjectNode toJson(Collection<StreamBuild> streams) {
      Map<String, ArrayNode> groups = new LinkedHashMap<>();
      ObjectNode spec = JsonNodeFactory.instance.objectNode();
      ArrayNode all = spec.putArray(Fields.STREAMS);
      for (StreamBuild s : streams) {
        groups
            .computeIfAbsent(
                s.service() + " " + s.build(),
                k ->
                    all.addObject()
                        .put(Fields.SERVICE, s.service().value())
                        .put(Fields.BUILD, s.build().value())
                        .putArray(Fields.IDS))
            .add(s.stream().value());
      }
      return spec;
    }
  }

  /** Reads an object, which may come from another writer and be malformed. */
  static ParseResult<StreamEntry> parse(JsonNode spec) {
    try {
      return new ParseResult.Readable<>(
          spec.has(Fields.STREAMS) ? streams(spec.path(Fields.STREAMS)) : builds(spec));
    } catch (IllegalArgumentException e) {
      return new ParseResult.Unreadable<>(
          new EntryProblem(
              Reason.MALFORMED, COLLECTION, spec.toString(), "builds of a service, or streams"));
    }
  }

  private static Builds builds(JsonNode spec) {
    JsonNode complete = spec.path(Fields.COMPLETE);
    JsonNode era = spec.path(Fields.ERA);
    if (!complete.isBoolean() || !era.canConvertToLong() || !era.isIntegralNumber()) {
      throw new IllegalArgumentException(spec.toString());
    }
    return new Builds(
        new ServiceName(text(spec.path(Fields.SERVICE))),
        names(spec.path(Fields.BUILDS)),
        spec.has(Fields.ENDING) ? names(spec.path(Fields.ENDING)) : ImmutableSet.of(),
        complete.booleanValue(),
        era.longValue());
  }

  private static Streams streams(JsonNode groups) {
    ImmutableList.Builder<StreamBuild> streams = ImmutableList.builder();
    for (JsonNode g : array(groups)) {
      ServiceName service = new ServiceName(text(g.path(Fields.SERVICE)));
      BuildName build = new BuildName(text(g.path(Fields.BUILD)));
      for (JsonNode id : array(g.path(Fields.IDS))) {
        streams.add(new StreamBuild(new StreamId(text(id)), service, build));
      }
    }
    return new Streams(streams.build());
  }

  private static ImmutableSet<BuildName> names(JsonNode all) {
    ImmutableSet.Builder<BuildName> builds = ImmutableSet.builder();
    for (JsonNode b : array(all)) {
      builds.add(new BuildName(text(b)));
    }
    return builds.build();
  }

  private static JsonNode array(JsonNode node) {
    if (!node.isArray()) {
      throw new IllegalArgumentException(node + " is no array");
    }
    return node;
  }

  private static String text(JsonNode node) {
    if (!node.isTextual()) {
      throw new IllegalArgumentException(node + " is no text");
    }
    return node.textValue();
  }

  /** The names of fields. */
  final class Fields {
    static final String SERVICE = "service";
    static final String BUILDS = "builds";
    static final String ENDING = "ending";
    static final String COMPLETE = "complete";
    static final String ERA = "era";
    static final String STREAMS = "streams";
    static final String BUILD = "build";
    static final String IDS = "ids";

    private Fields() {}
  }
}
