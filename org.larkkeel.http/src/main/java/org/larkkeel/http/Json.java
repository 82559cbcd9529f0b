/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/**
 * Reads and writes JSON bodies.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class Json {
  private static final ObjectMapper MAPPER =
      new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private Json() {}

  /**
   * Creates an empty object.
   *
   * @return the object
   */
  public static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /**
   * Parses a body that consists of exactly one JSON value.
   *
   * @param bytes the body in UTF-8
   * @return the value; a missing node for an empty input
   * @throws IOException if the input is not one JSON value
   */
  public static JsonNode parse(byte[] bytes) throws IOException {
    return MAPPER.readTree(bytes);
  }

  /**
   * Serializes a value.
   *
   * @param node the value
   * @return the value as JSON in UTF-8
   */
  public static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a JSON tree could not be serialized", e);
    }
  }
}
