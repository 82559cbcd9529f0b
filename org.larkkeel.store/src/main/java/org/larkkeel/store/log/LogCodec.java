/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.util.Locale;
import org.larkkeel.errors.Slugs;

/** Converts log entries from and to JSON. Stateless. */
final class LogCodec {
  static final String KIND = "LogEntry";

  private static final String APPEND = "append";
  private static final String TYPE = "type";
  private static final String RECORDS = "records";

  private LogCodec() {}

  static JsonNode toSpec(LogEntry e) {
    ObjectNode o = JsonNodeFactory.instance.objectNode();
    o.put(APPEND, e.id().toString());
    o.put(TYPE, Slugs.of(e.type()));
    o.putArray(RECORDS).addAll(e.records());
    return o;
  }

  static LogEntry read(long number, JsonNode spec) {
    AppendId id = AppendId.parse(spec.path(APPEND).asText());
    EntryType type = EntryType.valueOf(spec.path(TYPE).asText().toUpperCase(Locale.ROOT));
    return new LogEntry(number, id, type, ImmutableList.copyOf(spec.path(RECORDS)));
  }
}
