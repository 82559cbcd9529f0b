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
 * Labelled objects by key and value, for selectors over many objects.
 *
 * <p>A selection looks only at the objects of its rarest positive requirement. Invariant: each
 * object stands under exactly the labels that it was last put with. Not safe for use by several
 * threads.
 *
 * @param <T> the type of the objects' ids
 * @since 0.1
 */
public final class LabelIndex<T extends Comparable<T>> {
  private final Map<T, Labels> labels = new TreeMap<>();
  private final Map<String, KeyIndex<T>> keys = new HashMap<>();

  /** Creates an empty index. */
  public LabelIndex() {}

  /**
   * Adds an object, or replaces its labels.
   *
   * @param id the object, never null
   * @param newLabels its labels, never null
   */
  public void put(T id, Labels newLabels) {
    remove(id);
    labels.put(id, newLabels);
    newLabels
        .entries()
        .forEach((key, value) -> keys.computeIfAbsent(key, k -> new KeyIndex<>()).add(value, id));
  }

  /**
   * Removes an object if it is there.
   *
   * @param id the object, never null
   */
  public void remove(T id) {
    Labels old = labels.remove(id);
    if (old != null) {
      old.entries().forEach((key, value) -> removeLabel(key, value, id));
    }
  }

  private void removeLabel(String key, String value, T id) {
    KeyIndex<T> index = keys.get(key);
    index.remove(value, id);
    if (index.size() == 0) {
      keys.remove(key);
    }
  }

  /**
   * Counts the objects.
   *
   * @return how many objects it holds
   */
  public int size() {
    return labels.size();
  }

  /**
   * Finds the objects that a selector matches.
   *
   * @param selector the selector, never null
   * @return their ids in order
   */
  public ImmutableSortedSet<T> select(Selector selector) {
    ImmutableSortedSet.Builder<T> selected = ImmutableSortedSet.naturalOrder();
    for (Set<T> candidates : candidates(selector)) {
      for (T id : candidates) {
        if (selector.matches(labels.get(id))) {
          selected.add(id);
        }
      }
    }
    return selected.build();
  }

  /** Disjoint sets that together hold every object that can match. */
  private Iterable<Set<T>> candidates(Selector selector) {
    Candidates<T> best = new Candidates<>(Set.of(labels.keySet()), labels.size());
    for (Requirement requirement : selector.requirements()) {
      Optional<Candidates<T>> candidates = candidates(requirement);
      if (candidates.isPresent() && candidates.get().size() < best.size()) {
        best = candidates.get();
      }
    }
    return best.sets();
  }

  /** The objects that can meet a requirement; empty if it does not narrow them. */
  private Optional<Candidates<T>> candidates(Requirement requirement) {
    KeyIndex<T> index = keys.getOrDefault(requirement.key(), new KeyIndex<>());
    return switch (requirement) {
      case Requirement.In in -> Optional.of(index.with(in.values()));
      case Requirement.Exists exists -> Optional.of(index.all());
      case Requirement.NotIn notIn -> Optional.empty();
      case Requirement.Absent absent -> Optional.empty();
    };
  }

  /** Disjoint sets and the number of their elements. */
  private record Candidates<T>(Iterable<Set<T>> sets, int size) {}

  /** The objects that have one key, by its value. */
  private static final class KeyIndex<T extends Comparable<T>> {
    private final Map<String, Set<T>> byValue = new HashMap<>();
    private int size;

    void add(String value, T id) {
      byValue.computeIfAbsent(value, v -> new TreeSet<>()).add(id);
      size++;
    }

    void remove(String value, T id) {
      Set<T> ids = byValue.get(value);
      ids.remove(id);
      size--;
      if (ids.isEmpty()) {
        byValue.remove(value);
      }
    }

    int size() {
      return size;
    }

    Candidates<T> all() {
      return new Candidates<>(byValue.values(), size);
    }

    Candidates<T> with(Set<String> values) {
      var sets = values.stream().map(v -> byValue.getOrDefault(v, Set.of())).toList();
      return new Candidates<>(sets, sets.stream().mapToInt(Set::size).sum());
    }
  }
}
