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
 * A lease as the store keeps it. Immutable.
 *
 * @param holder who has it, never null
 * @param fencing grows by one with each take-over, never null
 * @param write names the write, so that its writer knows it again after a lost answer
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
