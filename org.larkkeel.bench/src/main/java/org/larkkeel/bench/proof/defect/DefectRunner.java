/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.defect;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.larkkeel.bench.proof.defect.Defect.Patch;

/**
 * Plants each defect into a copy of the sources and runs the fault matrix on it.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class DefectRunner {
  private final Path root;

  /**
   * The outcome of a defect.
   *
   * @param title a short description of the defect
   * @param caughtBy the first cell that failed; empty if the defect survived
   */
  public record Outcome(String title, Optional<String> caughtBy) {}

  /**
   * Creates a runner.
   *
   * @param root the directory with the sources of all modules
   */
  public DefectRunner(Path root) {
    this.root = root;
  }

  /**
   * Plants all defects, one after the other. Cells that fail without any defect are excluded.
   *
   * @param progress receives each outcome as soon as it is known
   * @return the outcomes, in a fixed order
   * @throws IOException if a source can't be read
   * @throws IllegalStateException if a patch does not match its source file exactly once
   */
  public ImmutableList<Outcome> run(Consumer<Outcome> progress) throws IOException {
    return run(Defects.all(), DefectSearch.failures(), progress);
  }

  /**
   * Plants the defects with the given titles only; no cell is excluded.
   *
   * @param titles the titles
   * @return the outcomes, in the order of all defects
   * @throws IOException if a source can't be read
   * @throws IllegalArgumentException if a title is unknown
   * @throws IllegalStateException if a patch does not match its source file exactly once
   */
  public ImmutableList<Outcome> run(Set<String> titles) throws IOException {
    ImmutableList<Defect> chosen =
        Defects.all().stream()
            .filter(defect -> titles.contains(defect.title()))
            .collect(ImmutableList.toImmutableList());
    if (chosen.size() != titles.size()) {
      throw new IllegalArgumentException(
          "at least one of these titles is not a listed defect: " + titles);
    }
    return run(chosen, ImmutableSet.of(), outcome -> {});
  }

  private ImmutableList<Outcome> run(
      List<Defect> defects, Set<String> excludedCells, Consumer<Outcome> progress)
      throws IOException {
    ImmutableList.Builder<Outcome> outcomes = ImmutableList.builder();
    for (Defect defect : defects) {
      Outcome outcome = new Outcome(defect.title(), findFailure(defect, excludedCells));
      progress.accept(outcome);
      outcomes.add(outcome);
    }
    return outcomes.build();
  }

  private Optional<String> findFailure(Defect defect, Set<String> excludedCells)
      throws IOException {
    Map<String, String> sources = new HashMap<>();
    for (Patch patch : defect.patches()) {
      String text = sources.get(patch.file());
      String before = text != null ? text : Files.readString(root.resolve(patch.file()));
      sources.put(patch.file(), apply(defect, patch, before));
    }
    try {
      Class<?> search = new PatchedLoader(sources).loadClass(DefectSearch.class.getName());
      return Optional.ofNullable(
          (String) search.getMethod("firstFailure", Set.class).invoke(null, excludedCells));
    } catch (InvocationTargetException e) {
      if (e.getCause() instanceof LinkageError broken) {
        throw broken;
      }
      return Optional.of("the run ended with " + e.getCause());
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("can't load the patched classes", e);
    }
  }

  private static String apply(Defect defect, Patch patch, String text) {
    int at = text.indexOf(patch.find());
    if (at < 0 || text.indexOf(patch.find(), at + 1) >= 0) {
      throw new IllegalStateException(
          "defect \""
              + defect.title()
              + "\" does not match exactly once in "
              + patch.file()
              + ": adapt its patch to the source");
    }
    return text.replace(patch.find(), patch.replacement());
  }
}
