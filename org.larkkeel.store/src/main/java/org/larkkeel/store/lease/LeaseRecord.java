/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.lease;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.larkkeel.lib.FencingNumber;
import org.larkkeel.store.log.AppendId;
import org.larkkeel.store.log.WriterId;

/**
 * A lease as stored. Immutable.
 *
 * @param holder the process that acquired the lease, never null
 * @param fencing the fencing number, which grows with each takeover, never null
 * @param write the id of the write, by which its writer recognizes it after a lost answer, never
 *     null
 * @param released true if the holder has released the lease
 */
record LeaseRecord(WriterId holder, FencingNumber fencing, AppendId write, boolean released) {
  static final String KIND = "Lease";

  private static final String HOLDER = "holder";
  private static final String FENCING = "fencing";
  private static final String WRITE = "write";
  private static final String RELEASED = "released";

  static LeaseRecord read(JsonNode spec) {
    return new LeaseRecord(
        WriterId.parse(spec.path(HOLDER).asText()),
        new FencingNumber(spec.path(FENCING).asLong()),
        AppendId.parse(spec.path(WRITE).asText()),
        spec.path(RELEASED).asBoolean());
  }

  JsonNode toSpec() {
    return JsonNodeFactory.instance
        .objectNode()
        .put(HOLDER, holder.toString())
        .put(FENCING, fencing.value())
        .put(WRITE, write.toString())
        .put(RELEASED, released);
  }
}
