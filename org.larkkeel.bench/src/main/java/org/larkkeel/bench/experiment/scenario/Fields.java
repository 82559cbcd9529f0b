/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.scenario;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.collect.ImmutableList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Locale;
import java.util.Set;
import java.util.function.Function;

/**
 * Reads the fields of one JSON object strictly: each is checked, and none may be left over.
 *
 * <p>Each method throws {@link ScenarioException} with field, value and remedy. Not safe for use by
 * several threads.
 *
 * @since 0.1
 */
public final class Fields {
  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
          .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private final JsonNode node;
  private final String path;
  private final Set<String> read = new HashSet<>();

  Fields(JsonNode node, String path) {
    this.node = node;
    this.path = path;
    if (!node.isObject()) {
      throw new ScenarioException(path + " is " + node + ": write an object { ... }");
    }
  }

  /**
   * The fields of a text in JSON with comments.
   *
   * @param text a JSON object
   * @param name what the text is called in messages
   */
  public static Fields parse(String text, String name) {
    try {
      return new Fields(MAPPER.readTree(text), name);
    } catch (JsonProcessingException e) {
      throw new ScenarioException(
          name + " is not JSON with comments: " + e.getOriginalMessage() + at(e));
    }
  }

  private static String at(JsonProcessingException e) {
    return e.getLocation() == null
        ? ""
        : ", line " + e.getLocation().getLineNr() + " column " + e.getLocation().getColumnNr();
  }

  /** Whether there is such a field. */
  public boolean has(String name) {
    return node.has(name);
  }

  /** A text that is not blank. */
  public String text(String name) {
    JsonNode value = require(name);
    if (!value.isTextual() || value.asText().isBlank()) {
      throw error(name, value, "write a text in quotes");
    }
    return value.asText();
  }

  String text(String name, String fallback) {
    return has(name) ? text(name) : fallback;
  }

  /** A number within bounds, both included. */
  public double number(String name, double min, double max) {
    JsonNode value = require(name);
    if (!value.isNumber() || !(value.asDouble() >= min && value.asDouble() <= max)) {
      throw error(name, value, "write a number from " + show(min) + " to " + show(max));
    }
    return value.asDouble();
  }

  /** As the other, or a fallback where the field is missing. */
  public double number(String name, double min, double max, double fallback) {
    return has(name) ? number(name, min, max) : fallback;
  }

  /** A whole number within bounds, or a fallback where the field is missing. */
  public int integer(String name, int min, int max, int fallback) {
    if (!has(name)) {
      return fallback;
    }
    JsonNode value = require(name);
    if (!value.isIntegralNumber() || value.asLong() < min || value.asLong() > max) {
      throw error(name, value, "write a whole number from " + min + " to " + max);
    }
    return value.asInt();
  }

  boolean flag(String name, boolean fallback) {
    if (!has(name)) {
      return fallback;
    }
    JsonNode value = require(name);
    if (!value.isBoolean()) {
      throw error(name, value, "write true or false");
    }
    return value.asBoolean();
  }

  /** A word that has to be there, one of those of an enum, in lower case with hyphens. */
  public <E extends Enum<E>> E choice(String name, Class<E> type) {
    return choice(name, type, null);
  }

  <E extends Enum<E>> E choice(String name, Class<E> type, E fallback) {
    if (fallback != null && !has(name)) {
      return fallback;
    }
    String written = text(name);
    for (E constant : type.getEnumConstants()) {
      if (slug(constant).equals(written)) {
        return constant;
      }
    }
    String choices =
        String.join(", ", Arrays.stream(type.getEnumConstants()).map(Fields::slug).toList());
    throw error(name, node.get(name), "write one of " + choices);
  }

  /** A list of objects, each read whole. */
  public <T> ImmutableList<T> list(String name, Function<Fields, T> reader) {
    ImmutableList.Builder<T> items = ImmutableList.builder();
    Iterator<JsonNode> values = array(name).elements();
    for (int i = 0; values.hasNext(); i++) {
      Fields item = new Fields(values.next(), path + "." + name + "[" + i + "]");
      items.add(reader.apply(item));
      item.finish();
    }
    return items.build();
  }

  <T> ImmutableList<T> values(String name, Function<JsonNode, T> reader, String remedy) {
    ImmutableList.Builder<T> items = ImmutableList.builder();
    for (JsonNode value : array(name)) {
      T item = reader.apply(value);
      if (item == null) {
        throw error(name, value, remedy);
      }
      items.add(item);
    }
    ImmutableList<T> all = items.build();
    if (all.isEmpty()) {
      throw error(name, node.get(name), "write at least one value");
    }
    return all;
  }

  /** An object, which the caller has to finish. */
  public Fields object(String name) {
    return new Fields(require(name), path + "." + name);
  }

  /** Refuses fields that nobody read. */
  public void finish() {
    Iterator<String> names = node.fieldNames();
    while (names.hasNext()) {
      String name = names.next();
      if (!read.contains(name)) {
        throw error(name, node.get(name), "no such field; remove it or correct its name");
      }
    }
  }

  /** What is wrong with a field. */
  public ScenarioException error(String name, Object value, String remedy) {
    return new ScenarioException(path + "." + name + " is " + value + ": " + remedy);
  }

  private JsonNode array(String name) {
    JsonNode value = require(name);
    if (!value.isArray()) {
      throw error(name, value, "write a list [ ... ]");
    }
    return value;
  }

  private JsonNode require(String name) {
    read.add(name);
    JsonNode value = node.get(name);
    if (value == null) {
      throw new ScenarioException(path + "." + name + " is missing: add it");
    }
    return value;
  }

  private static String slug(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private static String show(double value) {
    return value == Math.rint(value) && Math.abs(value) < 1e15
        ? Long.toString((long) value)
        : Double.toString(value);
  }
}
