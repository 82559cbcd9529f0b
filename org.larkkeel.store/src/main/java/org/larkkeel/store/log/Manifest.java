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
 * The object that names the current snapshot of a log.
 *
 * <p>Invariant: {@code truncatedThrough <= through}, and neither ever decreases. The manifest is
 * replaced before the entries that it declares truncated are deleted. Immutable.
 *
 * @param version the version of the stored object, {@link StoreVersion#NONE} if none is stored yet
 * @param through the number of the last entry that the snapshot covers, 0 for none
 * @param truncatedThrough entries up to and including this number may have been deleted
 * @param chunks the names of the objects that hold the snapshot, in order, never null
 */
record Manifest(
    StoreVersion version, long through, long truncatedThrough, ImmutableList<String> chunks) {
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
    o.put(THROUGH, through).put(TRUNCATED, truncatedThrough);
    ArrayNode names = o.putArray(CHUNKS);
    chunks.forEach(names::add);
    return o;
  }
}
