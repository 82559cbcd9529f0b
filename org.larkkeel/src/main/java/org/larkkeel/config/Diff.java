/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Sets;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The differences between two configurations, by object and field.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param objects the objects that differ, sorted by kind and name
 * @since 0.1
 */
public record Diff(ImmutableList<ObjectDiff> objects) {

  /** The type of an object's difference. */
  public enum Type {
    /** Only the later configuration contains the object. */
    ADDED,
    /** Both configurations contain the object, with different fields. */
    CHANGED,
    /** Only the earlier configuration contains the object. */
    REMOVED
  }

  /**
   * An object that differs.
   *
   * @param id the object
   * @param type the type of the difference
   * @param fields the fields that differ
   */
  public record ObjectDiff(ObjectId id, Type type, ImmutableList<FieldDiff> fields) {}

  /**
   * A field that differs.
   *
   * @param path the JSON pointer of the field within the object
   * @param before the earlier value as JSON; empty if the field was absent
   * @param after the later value as JSON; empty if the field is absent
   */
  public record FieldDiff(JsonPath path, Optional<String> before, Optional<String> after) {}

  /**
   * Compares two configurations, ignoring their revisions.
   *
   * @param before the earlier configuration
   * @param after the later configuration
   * @return the differences
   */
  public static Diff between(Configuration before, Configuration after) {
    Map<ObjectId, ConfigurationObject> beforeObjects = ConfigurationObjects.all(before);
    Map<ObjectId, ConfigurationObject> afterObjects = ConfigurationObjects.all(after);
    ImmutableList.Builder<ObjectDiff> objects = ImmutableList.builder();
    for (ObjectId id : new TreeSet<>(Sets.union(beforeObjects.keySet(), afterObjects.keySet()))) {
      Optional<ConfigurationObject> beforeObject = Optional.ofNullable(beforeObjects.get(id));
      Optional<ConfigurationObject> afterObject = Optional.ofNullable(afterObjects.get(id));
      if (!beforeObject.equals(afterObject)) {
        objects.add(
            new ObjectDiff(
                id, typeOf(beforeObject, afterObject), compareFields(beforeObject, afterObject)));
      }
    }
    return new Diff(objects.build());
  }

  /**
   * Returns the operations that transform the earlier into the later configuration.
   *
   * @param after the later configuration
   * @param prune true to delete the objects that the later configuration lacks
   * @return the operations, sorted by kind and name of their objects
   */
  public ImmutableList<Operation> operations(Configuration after, boolean prune) {
    Map<ObjectId, ConfigurationObject> afterObjects = ConfigurationObjects.all(after);
    ImmutableList.Builder<Operation> operations = ImmutableList.builder();
    for (ObjectDiff object : objects) {
      if (object.type() != Type.REMOVED) {
        operations.add(new Operation.Put(afterObjects.get(object.id())));
      } else if (prune) {
        operations.add(new Operation.Delete(object.id()));
      }
    }
    return operations.build();
  }

  private static Type typeOf(
      Optional<ConfigurationObject> before, Optional<ConfigurationObject> after) {
    if (before.isEmpty()) {
      return Type.ADDED;
    }
    return after.isEmpty() ? Type.REMOVED : Type.CHANGED;
  }

  private static ImmutableList<FieldDiff> compareFields(
      Optional<ConfigurationObject> beforeObject, Optional<ConfigurationObject> afterObject) {
    Map<String, String> before = beforeObject.map(Diff::flatten).orElseGet(TreeMap::new);
    Map<String, String> after = afterObject.map(Diff::flatten).orElseGet(TreeMap::new);
    ImmutableList.Builder<FieldDiff> fields = ImmutableList.builder();
    for (String pointer : new TreeSet<>(Sets.union(before.keySet(), after.keySet()))) {
      Optional<String> beforeValue = Optional.ofNullable(before.get(pointer));
      Optional<String> afterValue = Optional.ofNullable(after.get(pointer));
      if (!beforeValue.equals(afterValue)) {
        fields.add(new FieldDiff(new JsonPath(pointer), beforeValue, afterValue));
      }
    }
    return fields.build();
  }

  private static Map<String, String> flatten(ConfigurationObject object) {
    Map<String, String> fields = new TreeMap<>();
    flatten(JsonPath.ROOT, ObjectWriter.toJson(object), fields);
    return fields;
  }

  private static void flatten(JsonPath path, JsonNode node, Map<String, String> into) {
    if (!node.isObject()) {
      into.put(path.pointer(), node.toString());
      return;
    }
    node.properties().forEach(e -> flatten(path.child(e.getKey()), e.getValue(), into));
  }
}
