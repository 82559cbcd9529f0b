/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import org.larkkeel.http.Json;

/**
 * A whole answer as it goes to a caller, and as it is recorded for a later request with the same
 * key.
 *
 * <p>Immutable as long as nobody writes to the body; safe for use by several threads.
 *
 * @param status the status code
 * @param headers the headers, without those of the connection
 * @param body the body, not to be changed
 * @since 0.1
 */
@SuppressWarnings("ArrayRecordComponent") // The bytes are handed on and never changed.
public record RecordedAnswer(int status, ImmutableList<Header> headers, byte[] body) {
  /**
   * A header.
   *
   * @param name its name
   * @param value its value
   */
  public record Header(String name, String value) {}

  /**
   * Writes the answer for keeping.
   *
   * @return a JSON object in UTF-8
   */
  public byte[] toBytes() {
    ObjectNode root = Json.object();
    root.put("status", status);
    ArrayNode list = root.putArray("headers");
    headers.forEach(h -> list.addObject().put("name", h.name()).put("value", h.value()));
    root.put("body", body);
    return Json.bytes(root);
  }

  /**
   * Reads a kept answer.
   *
   * @param bytes what {@link #toBytes} wrote
   * @return the answer
   * @throws IOException if the bytes are something else
   */
  public static RecordedAnswer fromBytes(byte[] bytes) throws IOException {
    JsonNode root = Json.parse(bytes);
    ImmutableList.Builder<Header> headers = ImmutableList.builder();
    for (JsonNode h : root.path("headers")) {
      headers.add(new Header(h.path("name").asText(), h.path("value").asText()));
    }
    byte[] body = root.path("body").binaryValue();
    if (body == null || !root.path("status").isInt()) {
      throw new IOException("a recorded answer has no status or body");
    }
    return new RecordedAnswer(root.path("status").asInt(), headers.build(), body);
  }
}
