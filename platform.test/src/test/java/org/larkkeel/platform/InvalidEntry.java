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
 * A way in which another writer has made the entry of a runner invalid. No node may use a runner
 * with such an entry.
 *
 * <p>Immutable and safe for use by several threads.
 */
sealed interface InvalidEntry {
  /** A field is missing. */
  record Missing(String field) implements InvalidEntry {}

  /** A field has a value of the wrong type. */
  record OtherType(String field, JsonNode value) implements InvalidEntry {}

  /** A field has a value that is not one of its allowed values. */
  record Unnamed(String field) implements InvalidEntry {}

  /** The entry is not a JSON object. */
  record NoFields(JsonNode value) implements InvalidEntry {}

  /** The entry is not valid JSON, but its braces and quotes are balanced. */
  record NoJson(String bytes) implements InvalidEntry {}

  JsonNodeFactory NODES = JsonNodeFactory.instance;

  /** Text fields. */
  List<String> TEXTS = List.of("service", "address", "zone", "state");

  /** Whole-number fields. */
  List<String> NUMBERS = List.of("slots", "born");

  /** Values that are not texts. */
  List<JsonNode> NON_TEXTS =
      List.of(NODES.numberNode(7), NODES.nullNode(), NODES.arrayNode(), NODES.objectNode());

  /** Values that are not whole numbers. */
  List<JsonNode> NON_NUMBERS =
      List.of(NODES.textNode("8"), NODES.numberNode(1.5), NODES.nullNode(), NODES.arrayNode());

  /** Values that are not objects. */
  List<JsonNode> NON_OBJECTS =
      List.of(NODES.nullNode(), NODES.arrayNode(), NODES.textNode("ready"), NODES.numberNode(7));

  /** Pieces that are not valid JSON: an unquoted word, and a text that is not UTF-8. */
  List<String> NON_JSONS =
      List.of("{\"state\":ready,}", "{\"state\":\"" + StoreStandin.NO_UTF8 + "\"}");

  /** Draws a shape. The number of draws is constant, so later draws do not depend on the shape. */
  static InvalidEntry draw(SplittableRandom random) {
    int kind = random.nextInt(8);
    int which = random.nextInt(Integer.MAX_VALUE);
    int value = random.nextInt(Integer.MAX_VALUE);
    return switch (kind) {
      case 0 -> new Missing(pick(TEXTS, which));
      case 1 -> new Missing(pick(NUMBERS, which));
      case 2 -> new OtherType(pick(TEXTS, which), pick(NON_TEXTS, value));
      case 3 -> new OtherType(pick(NUMBERS, which), pick(NON_NUMBERS, value));
      case 4 -> new Unnamed("state");
      case 5 -> new Unnamed("service");
      case 6 -> new NoFields(pick(NON_OBJECTS, which));
      default -> new NoJson(pick(NON_JSONS, which));
    };
  }

  private static <T> T pick(List<T> all, int which) {
    return all.get(which % all.size());
  }

  /** Returns a copy of a valid entry in this shape. */
  default JsonNode applyTo(ObjectNode valid) {
    ObjectNode entry = valid.deepCopy();
    return switch (this) {
      case Missing m -> entry.without(m.field());
      case OtherType t -> entry.set(t.field(), t.value());
      case Unnamed u -> entry.put(u.field(), "no-such-" + u.field());
      case NoFields n -> n.value();
      case NoJson n -> NODES.rawValueNode(new RawValue(n.bytes()));
    };
  }
}
