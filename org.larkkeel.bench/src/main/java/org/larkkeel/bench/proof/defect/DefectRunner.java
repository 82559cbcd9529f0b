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
 * Plants each defect in a copy of the sources and lets the matrix look for it.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class DefectRunner {
  private final Path root;

  /**
   * What became of a defect.
   *
   * @param title what is wrong
   * @param caughtBy the first cell that failed; empty if the defect survived
   */
  public record Outcome(String title, Optional<String> caughtBy) {}

  /**
   * Creates a runner.
   *
   * @param root the folder of the sources of all modules
   */
  public DefectRunner(Path root) {
    this.root = root;
  }

  /**
   * Plants all defects, one after the other.
   *
   * @param progress told of each outcome as it comes
   * @return what became of them, in a fixed order
   * @throws IOException if a source can't be read
   * @throws IllegalStateException if a patch does not apply any more
   */
  public ImmutableList<Outcome> run(Consumer<Outcome> progress) throws IOException {
    return run(Defects.all(), DefectSearch.failures(), progress);
  }

  /**
   * Plants the defects with these titles only; no cell is left out.
   *
   * @param titles the titles
   * @return what became of them, in the order of all defects
   * @throws IOException if a source can't be read
   * @throws IllegalArgumentException if a title is unknown
   * @throws IllegalStateException if a patch does not apply any more
   */
  public ImmutableList<Outcome> run(Set<String> titles) throws IOException {
    ImmutableList<Defect> chosen =
        Defects.all().stream()
            .filter(defect -> titles.contains(defect.title()))
            .collect(ImmutableList.toImmutableList());
    if (chosen.size() != titles.size()) {
      throw new IllegalArgumentException("not all of these defects are listed: " + titles);
    }
    return run(chosen, ImmutableSet.of(), outcome -> {});
  }

  private ImmutableList<Outcome> run(
      List<Defect> defects, Set<String> leftOut, Consumer<Outcome> progress) throws IOException {
    ImmutableList.Builder<Outcome> outcomes = ImmutableList.builder();
    for (Defect defect : defects) {
      Outcome outcome = new Outcome(defect.title(), look(defect, leftOut));
      progress.accept(outcome);
      outcomes.add(outcome);
    }
    return outcomes.build();
  }

  private Optional<String> look(Defect defect, Set<String> leftOut) throws IOException {
    Map<String, String> sources = new HashMap<>();
    for (Patch patch : defect.patches()) {
      String text = sources.get(patch.file());
      String before = text != null ? text : Files.readString(root.resolve(patch.file()));
      sources.put(patch.file(), apply(defect, patch, before));
    }
    try {
      Class<?> search = new PatchedLoader(sources).loadClass(DefectSearch.class.getName());
      return Optional.ofNullable(
          (String) search.getMethod("firstFailure", Set.class).invoke(null, leftOut));
    } catch (InvocationTargetException e) {
      if (e.getCause() instanceof LinkageError broken) {
        throw broken;
      }
      return Optional.of("the run ended with " + e.getCause());
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("the patched classes do not load", e);
    }
  }

  private static String apply(Defect defect, Patch patch, String text) {
    int at = text.indexOf(patch.find());
    if (at < 0 || text.indexOf(patch.find(), at + 1) >= 0) {
      throw new IllegalStateException(
          "defect \""
              + defect.title()
              + "\" does not apply to "
              + patch.file()
              + ": adapt its patch to the source");
    }
    return text.replace(patch.find(), patch.replacement());
  }
}
