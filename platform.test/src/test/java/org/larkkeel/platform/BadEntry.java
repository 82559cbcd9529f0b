/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What another writer made of a runner's entry. No shape names a runner that may be used.
 *
 * <p>Immutable and safe for use by several threads.
 */
sealed interface BadEntry {
  /** Is missing a field. */
  record Missing(String field) implements BadEntry {}

  /** Has a value of another type in a field. */
  record OtherType(String field, JsonNode value) implements BadEntry {}

  /** Has a word in a field whose words are a closed set. */
  record Unnamed(String field) implements BadEntry {}

  /** Has something else than fields. */
  record NoFields(JsonNode value) implements BadEntry {}

  /** Has bytes that are no JSON; the braces and quotes match. */
  record NoJson(String bytes) implements BadEntry {}

  JsonNodeFactory NODES = JsonNodeFactory.instance;

  /** Fields that are texts. */
  List<String> TEXTS = List.of("service", "address", "zone", "state");

  /** Fields that are whole numbers. */
  List<String> NUMBERS = List.of("slots", "born");

  /** What a text is not. */
  List<JsonNode> NO_TEXTS =
      List.of(NODES.numberNode(7), NODES.nullNode(), NODES.arrayNode(), NODES.objectNode());

  /** What a whole number is not. */
  List<JsonNode> NO_NUMBERS =
      List.of(NODES.textNode("8"), NODES.numberNode(1.5), NODES.nullNode(), NODES.arrayNode());

  /** What fields are not. */
  List<JsonNode> NO_OBJECTS =
      List.of(NODES.nullNode(), NODES.arrayNode(), NODES.textNode("ready"), NODES.numberNode(7));

  /** What JSON is not: a word without quotes, and a text that is not UTF-8. */
  List<String> NO_JSONS =
      List.of("{\"state\":ready,}", "{\"state\":\"" + StoreStandin.NO_UTF8 + "\"}");

  /** Draws a shape; the same number of draws each time. */
  static BadEntry draw(SplittableRandom random) {
    int kind = random.nextInt(8);
    int which = random.nextInt(Integer.MAX_VALUE);
    int value = random.nextInt(Integer.MAX_VALUE);
    return switch (kind) {
      case 0 -> new Missing(pick(TEXTS, which));
      case 1 -> new Missing(pick(NUMBERS, which));
      case 2 -> new OtherType(pick(TEXTS, which), pick(NO_TEXTS, value));
      case 3 -> new OtherType(pick(NUMBERS, which), pick(NO_NUMBERS, value));
      case 4 -> new Unnamed("state");
      case 5 -> new Unnamed("service");
      case 6 -> new NoFields(pick(NO_OBJECTS, which));
      default -> new NoJson(pick(NO_JSONS, which));
    };
  }

  private static <T> T pick(List<T> all, int which) {
    return all.get(which % all.size());
  }

  /** The entry in this shape. */
  default JsonNode of(ObjectNode good) {
    ObjectNode entry = good.deepCopy();
    return switch (this) {
      case Missing m -> entry.without(m.field());
      case OtherType t -> entry.set(t.field(), t.value());
      case Unnamed u -> entry.put(u.field(), "no-such-" + u.field());
      case NoFields n -> n.value();
      case NoJson n -> NODES.rawValueNode(new RawValue(n.bytes()));
    };
  }
}
