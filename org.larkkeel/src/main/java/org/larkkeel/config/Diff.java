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
 * What differs between two configurations, by object and field.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param objects the objects that differ, by kind and name
 * @since 0.1
 */
public record Diff(ImmutableList<ObjectDiff> objects) {

  /** What happened to an object. */
  public enum Type {
    /** Only the later configuration has it. */
    ADDED,
    /** Both have it, with different fields. */
    CHANGED,
    /** Only the earlier configuration has it. */
    REMOVED
  }

  /**
   * An object that differs.
   *
   * @param id the object
   * @param type what happened to it
   * @param fields the fields that differ
   */
  public record ObjectDiff(ObjectId id, Type type, ImmutableList<FieldDiff> fields) {}

  /**
   * A field that differs.
   *
   * @param path the JSON pointer within the object
   * @param before the earlier value as JSON, empty if there was none
   * @param after the later value as JSON, empty if there is none
   */
  public record FieldDiff(JsonPath path, Optional<String> before, Optional<String> after) {}

  /**
   * Compares two configurations; revisions are left aside.
   *
   * @param before the earlier
   * @param after the later
   * @return what differs
   */
  public static Diff between(Configuration before, Configuration after) {
    Map<ObjectId, ConfigurationObject> old = ConfigurationObjects.all(before);
    Map<ObjectId, ConfigurationObject> now = ConfigurationObjects.all(after);
    ImmutableList.Builder<ObjectDiff> objects = ImmutableList.builder();
    for (ObjectId id : new TreeSet<>(Sets.union(old.keySet(), now.keySet()))) {
      Optional<ConfigurationObject> a = Optional.ofNullable(old.get(id));
      Optional<ConfigurationObject> b = Optional.ofNullable(now.get(id));
      if (!a.equals(b)) {
        objects.add(new ObjectDiff(id, type(a, b), fields(a, b)));
      }
    }
    return new Diff(objects.build());
  }

  /**
   * The steps that lead from the earlier to the later configuration.
   *
   * @param after the later configuration
   * @param prune whether objects that it lacks are deleted
   * @return the steps
   */
  public ImmutableList<Operation> operations(Configuration after, boolean prune) {
    Map<ObjectId, ConfigurationObject> now = ConfigurationObjects.all(after);
    ImmutableList.Builder<Operation> operations = ImmutableList.builder();
    for (ObjectDiff object : objects) {
      if (object.type() != Type.REMOVED) {
        operations.add(new Operation.Put(now.get(object.id())));
      } else if (prune) {
        operations.add(new Operation.Delete(object.id()));
      }
    }
    return operations.build();
  }

  private static Type type(Optional<ConfigurationObject> a, Optional<ConfigurationObject> b) {
    if (a.isEmpty()) {
      return Type.ADDED;
    }
    return b.isEmpty() ? Type.REMOVED : Type.CHANGED;
  }

  private static ImmutableList<FieldDiff> fields(
      Optional<ConfigurationObject> a, Optional<ConfigurationObject> b) {
    Map<String, String> before = a.map(Diff::flatten).orElseGet(TreeMap::new);
    Map<String, String> after = b.map(Diff::flatten).orElseGet(TreeMap::new);
    ImmutableList.Builder<FieldDiff> fields = ImmutableList.builder();
    for (String pointer : new TreeSet<>(Sets.union(before.keySet(), after.keySet()))) {
      Optional<String> x = Optional.ofNullable(before.get(pointer));
      Optional<String> y = Optional.ofNullable(after.get(pointer));
      if (!x.equals(y)) {
        fields.add(new FieldDiff(new JsonPath(pointer), x, y));
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
