/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.selector;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.integers;
import static org.quicktheories.generators.SourceDSL.lists;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.larkkeel.lib.Labels;
import org.quicktheories.core.Gen;
import org.testng.annotations.Test;

/**
 * Compares {@link LabelIndex} with a scan of all objects after each of a random sequence of
 * updates.
 */
public class LabelIndexTest {
  private static final long SEED = 20261;
  private static final List<String> KEYS = List.of("role", "gen", "dc");
  private static final List<String> VALUES = List.of("", "a", "b", "c");

  private LabelIndexTest() {}

  /** One update of a history: an object gets labels or is removed. */
  private record Step(int id, boolean removed, Labels labels) {}

  private static Gen<Labels> labels() {
    return lists()
        .of(integers().between(0, VALUES.size()))
        .ofSize(KEYS.size())
        .map(LabelIndexTest::labels);
  }

  private static Labels labels(List<Integer> values) {
    Map<String, String> entries = new TreeMap<>();
    for (int i = 0; i < KEYS.size(); i++) {
      if (values.get(i) < VALUES.size()) {
        entries.put(KEYS.get(i), VALUES.get(values.get(i)));
      }
    }
    return Labels.of(entries);
  }

  private static Gen<List<Step>> histories() {
    Gen<Step> steps =
        integers()
            .between(0, 11)
            .zip(integers().between(0, 3), labels(), (id, r, l) -> new Step(id, r == 0, l));
    return lists().of(steps).ofSizeBetween(0, 30);
  }

  private static Gen<Requirement> requirements() {
    return integers()
        .between(0, 3)
        .zip(
            integers().between(0, KEYS.size() - 1),
            lists().of(integers().between(1, VALUES.size() - 1)).ofSizeBetween(1, 2),
            LabelIndexTest::requirement);
  }

  private static Requirement requirement(int type, int key, List<Integer> values) {
    ImmutableSortedSet<String> valueTexts =
        values.stream()
            .map(VALUES::get)
            .collect(ImmutableSortedSet.toImmutableSortedSet(String::compareTo));
    return switch (type) {
      case 0 -> new Requirement.In(KEYS.get(key), valueTexts);
      case 1 -> new Requirement.NotIn(KEYS.get(key), valueTexts);
      case 2 -> new Requirement.Exists(KEYS.get(key));
      default -> new Requirement.Absent(KEYS.get(key));
    };
  }

  private static Gen<Selector> selectors() {
    return lists()
        .of(requirements())
        .ofSizeBetween(0, 3)
        .map(r -> new Selector(ImmutableList.copyOf(r)));
  }

  private static ImmutableSortedSet<Integer> scanAll(
      Map<Integer, Labels> labelsById, Selector selector) {
    return labelsById.entrySet().stream()
        .filter(e -> selector.matches(e.getValue()))
        .map(Map.Entry::getKey)
        .collect(ImmutableSortedSet.toImmutableSortedSet(Integer::compareTo));
  }

  /** Differential tests with random histories and selectors. */
  public static class Differential {
    @Test
    public void selectionEqualsFullScanAfterEveryStep() {
      qt().withFixedSeed(SEED)
          .withExamples(2000)
          .forAll(histories(), selectors())
          .checkAssert(Differential::compare);
    }

    private static void compare(List<Step> history, Selector selector) {
      LabelIndex<Integer> index = new LabelIndex<>();
      Map<Integer, Labels> labelsById = new TreeMap<>();
      for (Step step : history) {
        if (step.removed()) {
          index.remove(step.id());
          labelsById.remove(step.id());
        } else {
          index.put(step.id(), step.labels());
          labelsById.put(step.id(), step.labels());
        }
        assertEquals(index.select(selector), scanAll(labelsById, selector));
        assertEquals(index.size(), labelsById.size());
      }
    }

    @Test
    public void generatorsProduceMatchesAndMisses() {
      int[] counts = new int[2];
      qt().withFixedSeed(SEED)
          .withExamples(500)
          .forAll(labels(), selectors())
          .checkAssert((labels, selector) -> counts[selector.matches(labels) ? 1 : 0]++);
      assertTrue(
          counts[0] > 50 && counts[1] > 50, counts[0] + " misses, " + counts[1] + " matches");
    }
  }
}
