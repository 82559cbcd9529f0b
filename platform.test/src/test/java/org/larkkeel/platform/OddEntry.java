/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The text of an object of another writer with values at or beyond the limits of a reader: very
 * deep nesting, numbers that no type holds, names and addresses of any kind, values of another type
 * and duplicate keys. One character stands for one byte.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param text the object
 */
record OddEntry(String text) {
  /** The name of the object, if it has one. */
  static final String NAME = "m";

  /** The name of an object within the object, which is not an object of the list. */
  static final String INNER = "inner";

  private static final List<Integer> DEPTHS = List.of(50, 190, 500, 994, 999, 1_100, 5_000);

  private static final List<String> NUMBERS =
      List.of(
          "1e400",
          "-1e999999999",
          "1e999999999",
          "1e99999999999",
          "1e-999999999",
          "9".repeat(20),
          "9".repeat(70),
          "-" + "9".repeat(990),
          "9".repeat(5_000),
          "0." + "1".repeat(5_000),
          "-5",
          "0",
          "1.5",
          "9223372036854775807",
          "-9223372036854775808");

  private static final List<String> TEXTS =
      List.of(
          "",
          " ",
          "x".repeat(200_000),
          "a\\u0000b",
          "\\ud800",
          "\\udc00\\ud800",
          String.valueOf((char) 0xFF) + (char) 0xFE,
          "a\u0001b",
          "../m",
          "10.0.0.1:70000",
          "10.0.0.1:-1",
          "10.0.0.1:" + "9".repeat(40),
          "10.0.0.1",
          "[fe80::1%eth9]:80",
          "[::1",
          "no-address:80",
          "1.2.3.4:80".repeat(20_000));

  private static final List<String> CONTAINERS = List.of("null", "[]", "{}", "[[]]", "true");

  private static final List<String> FIELDS =
      List.of(
          "service",
          "address",
          "zone",
          "version",
          "slots",
          "state",
          "stage",
          "born",
          "routes",
          "services",
          "limits",
          "tenants",
          "other");

  /** Returns a value that is nested to a depth, of one of several shapes. */
  static String nested(int depth, int shape) {
    return switch (shape) {
      case 0 -> "[".repeat(depth) + "1" + "]".repeat(depth);
      case 1 -> "{\"a\":".repeat(depth) + "1" + "}".repeat(depth);
      case 2 -> "[0,{\"a\":".repeat(depth / 2) + "1" + "}]".repeat(depth / 2);
      default -> "[0,{\"metadata\":".repeat(depth / 2) + "1" + "}]".repeat(depth / 2);
    };
  }

  /** Draws an object. The number of draws is constant. */
  static OddEntry draw(SplittableRandom random) {
    String value = value(random);
    String field = pick(FIELDS, random);
    final boolean isDuplicate = random.nextInt(4) == 0;
    final boolean hasInner = random.nextInt(3) == 0;
    int place = random.nextInt(8);
    ObjectNode fields = Entries.valid();
    if (!isDuplicate) {
      fields.remove(field);
    }
    String rest = fields.toString().substring(1);
    String spec = "{\"" + field + "\":" + value + "," + rest;
    if (hasInner) {
      spec =
          "{\"x\":[0," + ScriptedStore.item(INNER, 3, Entries.valid().toString()) + ",0]," + rest;
    }
    String metadata = "{\"name\":\"" + NAME + "\",\"revision\":3}";
    return new OddEntry(
        switch (place) {
          case 0 -> object(metadata, value, "");
          case 1 -> object("{\"name\":\"" + NAME + "\",\"revision\":" + value + "}", spec, "");
          case 2 -> object("{\"name\":" + value + ",\"revision\":3}", spec, "");
          case 3 -> object(metadata.replace("{", "{\"finalizers\":" + value + ","), spec, "");
          case 4 -> object(metadata, spec, ",\"status\":" + value);
          case 5 -> object(metadata, spec, ",\"spec\":" + value);
          case 6 -> value;
          default -> object(metadata, "{\"" + field + "\":" + value + "," + rest, "");
        });
  }

  private static String object(String metadata, String spec, String more) {
    return "{\"metadata\":" + metadata + ",\"spec\":" + spec + more + "}";
  }

  private static String value(SplittableRandom random) {
    int kind = random.nextInt(5);
    int depth = DEPTHS.get(random.nextInt(DEPTHS.size()));
    int shape = random.nextInt(4);
    String number = pick(NUMBERS, random);
    String text = "\"" + pick(TEXTS, random) + "\"";
    String container = pick(CONTAINERS, random);
    return switch (kind) {
      case 0, 1 -> nested(depth, shape);
      case 2 -> number;
      case 3 -> text;
      default -> container;
    };
  }

  private static String pick(List<String> all, SplittableRandom random) {
    return all.get(random.nextInt(all.size()));
  }

  /** Returns specs of the entry of a runner, none of which can be read. */
  static List<String> unreadableSpecs() {
    return List.of(
        spec("other", nested(1_100, 0)),
        spec("other", nested(100_000, 1)),
        spec("other", nested(20_000, 3)),
        spec("other", "9".repeat(5_000)),
        spec("version", "9".repeat(70)),
        spec("slots", "1e999999999"),
        spec("slots", "9".repeat(900)),
        spec("address", "\"10.0.0.1:70000\""),
        spec("address", "\"10.0.0.1\""),
        spec("zone", "\"\\ud800\""),
        "null",
        "[]");
  }

  /** Returns the spec of a runner with one field of a given value. */
  static String spec(String field, String value) {
    ObjectNode others = Entries.valid().without(field);
    return "{\"" + field + "\":" + value + "," + others.toString().substring(1);
  }
}
