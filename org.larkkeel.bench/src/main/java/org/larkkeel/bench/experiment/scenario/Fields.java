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
 * Reads the fields of one JSON object strictly: checks each value and rejects unknown fields.
 *
 * <p>Each method throws {@link ScenarioException}, whose message names field, value and remedy, if
 * a field is missing or not valid. Not safe for use by several threads.
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
  private final Set<String> readNames = new HashSet<>();

  Fields(JsonNode node, String path) {
    this.node = node;
    this.path = path;
    if (!node.isObject()) {
      throw new ScenarioException(path + " is " + node + ": write an object { ... }");
    }
  }

  /**
   * Parses a JSON object with comments.
   *
   * @param text the text of a JSON object
   * @param name the name of the object in messages
   */
  public static Fields parse(String text, String name) {
    try {
      return new Fields(MAPPER.readTree(text), name);
    } catch (JsonProcessingException e) {
      throw new ScenarioException(
          name + " is not JSON with comments: " + e.getOriginalMessage() + location(e));
    }
  }

  private static String location(JsonProcessingException e) {
    return e.getLocation() == null
        ? ""
        : ", line " + e.getLocation().getLineNr() + " column " + e.getLocation().getColumnNr();
  }

  /** Returns whether a field is present. */
  public boolean has(String name) {
    return node.has(name);
  }

  /** Returns a required string that is not blank. */
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

  /** Returns a required number within inclusive bounds. */
  public double number(String name, double min, double max) {
    JsonNode value = require(name);
    if (!value.isNumber() || !(value.asDouble() >= min && value.asDouble() <= max)) {
      throw error(name, value, "write a number from " + format(min) + " to " + format(max));
    }
    return value.asDouble();
  }

  /** Returns a number within inclusive bounds, or a fallback if the field is missing. */
  public double number(String name, double min, double max, double fallback) {
    return has(name) ? number(name, min, max) : fallback;
  }

  /** Returns an integer within inclusive bounds, or a fallback if the field is missing. */
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

  /** Returns a required enum constant, which is written in lower case with hyphens. */
  public <E extends Enum<E>> E choice(String name, Class<E> type) {
    return choice(name, type, null);
  }

  <E extends Enum<E>> E choice(String name, Class<E> type, E fallback) {
    if (fallback != null && !has(name)) {
      return fallback;
    }
    String value = text(name);
    for (E constant : type.getEnumConstants()) {
      if (slug(constant).equals(value)) {
        return constant;
      }
    }
    String choices =
        String.join(", ", Arrays.stream(type.getEnumConstants()).map(Fields::slug).toList());
    throw error(name, node.get(name), "write one of " + choices);
  }

  /** Reads a list of objects, whose fields the reader must all read. */
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

  /** Returns a nested object, for which the caller must call {@link #finish}. */
  public Fields object(String name) {
    return new Fields(require(name), path + "." + name);
  }

  /** Rejects fields that were not read. */
  public void finish() {
    Iterator<String> names = node.fieldNames();
    while (names.hasNext()) {
      String name = names.next();
      if (!readNames.contains(name)) {
        throw error(name, node.get(name), "no such field; remove it or correct its name");
      }
    }
  }

  /** Returns the exception for a field with a value that is not valid. */
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
    readNames.add(name);
    JsonNode value = node.get(name);
    if (value == null) {
      throw new ScenarioException(path + "." + name + " is missing: add it");
    }
    return value;
  }

  private static String slug(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private static String format(double value) {
    return value == Math.rint(value) && Math.abs(value) < 1e15
        ? Long.toString((long) value)
        : Double.toString(value);
  }
}
