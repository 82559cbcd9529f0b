/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import org.larkkeel.store.StoreVersion;

/**
 * Names the current snapshot of a log.
 *
 * <p>Invariant: {@code truncated <= through}; neither ever decreases. It is swapped before any
 * entry is deleted. Immutable.
 *
 * @param version the object's version, none if there is none yet
 * @param through the last entry that the snapshot covers, 0 for none
 * @param truncated entries up to this one may be gone
 * @param chunks the names of the objects that hold the snapshot, in order, never null
 */
record Manifest(StoreVersion version, long through, long truncated, ImmutableList<String> chunks) {
  static final String KIND = "LogManifest";
  static final Manifest NONE = new Manifest(StoreVersion.NONE, 0, 0, ImmutableList.of());

  private static final String THROUGH = "through";
  private static final String TRUNCATED = "truncated";
  private static final String CHUNKS = "chunks";

  static Manifest read(StoreVersion version, JsonNode spec) {
    ImmutableList.Builder<String> chunks = ImmutableList.builder();
    spec.path(CHUNKS).forEach(c -> chunks.add(c.asText()));
    return new Manifest(
        version, spec.path(THROUGH).asLong(), spec.path(TRUNCATED).asLong(), chunks.build());
  }

  JsonNode toSpec() {
    ObjectNode o = JsonNodeFactory.instance.objectNode();
    o.put(THROUGH, through).put(TRUNCATED, truncated);
    ArrayNode names = o.putArray(CHUNKS);
    chunks.forEach(names::add);
    return o;
  }
}
