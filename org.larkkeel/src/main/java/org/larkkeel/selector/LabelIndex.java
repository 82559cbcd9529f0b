/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.selector;

import com.google.common.collect.ImmutableSortedSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.larkkeel.lib.Labels;

/**
 * An index of labelled objects by label key and value, to evaluate selectors over many objects.
 *
 * <p>A selection tests only the objects of its most selective {@link Requirement.In} or {@link
 * Requirement.Exists} requirement. Invariant: each object is indexed under exactly the labels of
 * its last {@link #put}. Not safe for use by several threads.
 *
 * @param <T> the type of the objects' ids
 * @since 0.1
 */
public final class LabelIndex<T extends Comparable<T>> {
  private final Map<T, Labels> labelsById = new TreeMap<>();
  private final Map<String, KeyIndex<T>> indexByKey = new HashMap<>();

  /** Creates an empty index. */
  public LabelIndex() {}

  /**
   * Adds an object, or replaces its labels.
   *
   * @param id the id of the object, never null
   * @param newLabels its labels, never null
   */
  public void put(T id, Labels newLabels) {
    remove(id);
    labelsById.put(id, newLabels);
    newLabels
        .entries()
        .forEach(
            (key, value) -> indexByKey.computeIfAbsent(key, k -> new KeyIndex<>()).add(value, id));
  }

  /**
   * Removes an object, if present.
   *
   * @param id the id of the object, never null
   */
  public void remove(T id) {
    Labels old = labelsById.remove(id);
    if (old != null) {
      old.entries().forEach((key, value) -> removeLabel(key, value, id));
    }
  }

  private void removeLabel(String key, String value, T id) {
    KeyIndex<T> index = indexByKey.get(key);
    index.remove(value, id);
    if (index.size() == 0) {
      indexByKey.remove(key);
    }
  }

  /**
   * Returns the number of objects.
   *
   * @return the number of objects in the index
   */
  public int size() {
    return labelsById.size();
  }

  /**
   * Finds the objects that a selector matches.
   *
   * @param selector the selector, never null
   * @return their ids in natural order
   */
  public ImmutableSortedSet<T> select(Selector selector) {
    ImmutableSortedSet.Builder<T> selected = ImmutableSortedSet.naturalOrder();
    for (Set<T> candidates : candidates(selector)) {
      for (T id : candidates) {
        if (selector.matches(labelsById.get(id))) {
          selected.add(id);
        }
      }
    }
    return selected.build();
  }

  /** Returns disjoint sets that together contain every object that can match. */
  private Iterable<Set<T>> candidates(Selector selector) {
    Candidates<T> smallest = new Candidates<>(Set.of(labelsById.keySet()), labelsById.size());
    for (Requirement requirement : selector.requirements()) {
      Optional<Candidates<T>> candidates = candidates(requirement);
      if (candidates.isPresent() && candidates.get().size() < smallest.size()) {
        smallest = candidates.get();
      }
    }
    return smallest.sets();
  }

  /** Returns the objects that can meet a requirement; empty if the index cannot narrow them. */
  private Optional<Candidates<T>> candidates(Requirement requirement) {
    KeyIndex<T> index = indexByKey.getOrDefault(requirement.key(), new KeyIndex<>());
    return switch (requirement) {
      case Requirement.In in -> Optional.of(index.withValues(in.values()));
      case Requirement.Exists exists -> Optional.of(index.all());
      case Requirement.NotIn notIn -> Optional.empty();
      case Requirement.Absent absent -> Optional.empty();
    };
  }

  /** Disjoint sets and the total number of their elements. */
  private record Candidates<T>(Iterable<Set<T>> sets, int size) {}

  /** The objects that have a label of one key, by its value. */
  private static final class KeyIndex<T extends Comparable<T>> {
    private final Map<String, Set<T>> idsByValue = new HashMap<>();
    private int size;

    void add(String value, T id) {
      idsByValue.computeIfAbsent(value, v -> new TreeSet<>()).add(id);
      size++;
    }

    void remove(String value, T id) {
      Set<T> ids = idsByValue.get(value);
      ids.remove(id);
      size--;
      if (ids.isEmpty()) {
        idsByValue.remove(value);
      }
    }

    int size() {
      return size;
    }

    Candidates<T> all() {
      return new Candidates<>(idsByValue.values(), size);
    }

    Candidates<T> withValues(Set<String> values) {
      var sets = values.stream().map(v -> idsByValue.getOrDefault(v, Set.of())).toList();
      return new Candidates<>(sets, sets.stream().mapToInt(Set::size).sum());
    }
  }
}
