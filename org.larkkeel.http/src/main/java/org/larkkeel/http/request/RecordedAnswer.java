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
 * A complete answer, as it is sent to a caller and recorded for later requests with the same
 * idempotency key.
 *
 * <p>Immutable provided that nobody writes to the body; safe for use by several threads.
 *
 * @param status the status code
 * @param headers the headers, without hop-by-hop headers
 * @param body the body; must not be modified
 * @since 0.1
 */
@SuppressWarnings("ArrayRecordComponent") // The array is passed on and never modified.
public record RecordedAnswer(int status, ImmutableList<Header> headers, byte[] body) {
  /**
   * A header.
   *
   * @param name the name
   * @param value the value
   */
  public record Header(String name, String value) {}

  /**
   * Serializes the answer for storage.
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
   * Parses a stored answer.
   *
   * @param bytes the result of {@link #toBytes}
   * @return the answer
   * @throws IOException if the bytes are not a stored answer
   */
  public static RecordedAnswer fromBytes(byte[] bytes) throws IOException {
    JsonNode root = Json.parse(bytes);
    ImmutableList.Builder<Header> headers = ImmutableList.builder();
    for (JsonNode h : root.path("headers")) {
      headers.add(new Header(h.path("name").asText(), h.path("value").asText()));
    }
    byte[] body = root.path("body").binaryValue();
    if (body == null || !root.path("status").isInt()) {
      throw new IOException("the recorded answer has no integer status or no base64 body");
    }
    return new RecordedAnswer(root.path("status").asInt(), headers.build(), body);
  }
}
