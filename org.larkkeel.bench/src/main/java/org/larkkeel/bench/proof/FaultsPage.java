/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.larkkeel.bench.proof.Matrix.Result;
import org.larkkeel.bench.proof.defect.DefectRunner;
import org.larkkeel.bench.proof.world.Fault;
import org.larkkeel.bench.proof.world.InjectionPoint;

/**
 * The results page. Each section stands between two marker comments and is replaced independently
 * of the others.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class FaultsPage {
  private static final int MAX_FAILURES = 50;

  private final Path file;

  FaultsPage(Path file) {
    this.file = file;
  }

  /** Writes the section about the fault matrix. */
  void writeMatrix(Matrix matrix, List<Result> singles, List<Result> pairs) throws IOException {
    StringBuilder text = new StringBuilder();
    text.append("## Every fault at every step\n\n");
    text.append("Seed ").append(Matrix.SEED).append(". ");
    text.append(summary(singles)).append(" with one fault; ");
    text.append(summary(pairs)).append(" with two.\n\n");
    text.append("A number counts the cells that held, one for each step and moment; \"–\" means ");
    text.append("that the fault means nothing there, for the reason given below.\n\n");
    matrixTable(text, singles);
    text.append("\n## Steps\n\n");
    stepTable(text, matrix);
    failures(text, singles, pairs);
    write("matrix", text.toString());
  }

  /** Writes the section about planted defects. */
  void writeDefects(List<DefectRunner.Outcome> outcomes) throws IOException {
    StringBuilder text = new StringBuilder("## Planted defects\n\n");
    text.append("Each is planted alone into a copy of the sources, which the matrix then runs. ");
    text.append("Cells that fail without any defect are left out.\n\n");
    long detected = outcomes.stream().filter(o -> o.caughtBy().isPresent()).count();
    text.append(detected).append(" of ").append(outcomes.size()).append(" are caught.\n\n");
    text.append("| defect | caught by |\n|---|---|\n");
    for (DefectRunner.Outcome o : outcomes) {
      String detectedBy = o.caughtBy().orElse("**survived**").replace('|', '/');
      text.append("| ").append(o.title()).append(" | ").append(detectedBy).append(" |\n");
    }
    write("defects", text.toString());
  }

  private void write(String name, String text) throws IOException {
    String startMarker = "<!-- " + name + " -->\n";
    String endMarker = "<!-- end of " + name + " -->\n";
    String page = Files.exists(file) ? Files.readString(file) : HEAD;
    int from = page.indexOf(startMarker);
    String section = startMarker + text + endMarker;
    if (from < 0) {
      page = page + "\n" + section;
    } else {
      int to = page.indexOf(endMarker) + endMarker.length();
      page = page.substring(0, from) + section + page.substring(to);
    }
    Files.createDirectories(file.toAbsolutePath().getParent());
    Files.writeString(file, page);
  }

  private static final String HEAD =
      """
      # Faults

      Written by `./faults`; do not edit. Three nodes with the real router, run log, configuration
      log and membership run in virtual time against fakes of callers, engines, services and the
      platform. After each run the promises are checked by what those outsiders saw.

      "Engine starts again" is a start within the moment: the engine is never found away, has its name and
      address, and holds nothing of before; its numbers count anew under a greater incarnation. "Engine death" is
      the same with seconds between.

      An upstream's entry that can not be read has no row. Upstreams stand in the configuration here, which is
      checked as a whole before it is accepted, so that no node ever has one that can not be read. Entries that
      upstreams register by themselves exist on relay nodes only; `./soak-relay` draws bad ones (docs/SOAK.md).
      """;

  private static String summary(List<Result> results) {
    long passed = results.stream().filter(Result::passed).count();
    return passed + " of " + results.size() + " cells held";
  }

  private static void matrixTable(StringBuilder text, List<Result> singles) {
    text.append("| fault |");
    for (Scenario scenario : Scenario.values()) {
      text.append(' ').append(scenario.title()).append(" |");
    }
    text.append("\n|---|").append("---|".repeat(Scenario.values().length)).append('\n');
    Map<Fault, Map<Scenario, int[]>> counts = count(singles);
    Map<String, Integer> reasons = new LinkedHashMap<>();
    for (Fault fault : Fault.values()) {
      text.append("| ").append(fault.title()).append(" |");
      for (Scenario scenario : Scenario.values()) {
        String exemption = FaultTable.exemption(scenario, fault);
        text.append(' ');
        if (exemption.isEmpty()) {
          text.append(entry(counts.get(fault).get(scenario)));
        } else {
          int note = reasons.computeIfAbsent(exemption, r -> reasons.size() + 1);
          text.append("– (").append(note).append(')');
        }
        text.append(" |");
      }
      text.append('\n');
    }
    text.append('\n');
    reasons.forEach((reason, note) -> text.append("(" + note + ") " + reason + ".  \n"));
  }

  private static String entry(int[] count) {
    return count[1] == 0 ? count[0] + " held" : count[0] + " held, **" + count[1] + " failed**";
  }

  private static Map<Fault, Map<Scenario, int[]>> count(List<Result> singles) {
    Map<Fault, Map<Scenario, int[]>> counts = new EnumMap<>(Fault.class);
    for (Fault fault : Fault.values()) {
      Map<Scenario, int[]> row = new EnumMap<>(Scenario.class);
      for (Scenario scenario : Scenario.values()) {
        row.put(scenario, new int[2]);
      }
      counts.put(fault, row);
    }
    for (Result result : singles) {
      Fault fault = result.cell().injections().getFirst().fault();
      counts.get(fault).get(result.cell().scenario())[result.passed() ? 0 : 1]++;
    }
    return counts;
  }

  private static void stepTable(StringBuilder text, Matrix matrix) {
    text.append("| step | moments | reached in |\n|---|---|---|\n");
    for (Class<?> step : Steps.all()) {
      StringBuilder where = new StringBuilder();
      for (Scenario scenario : Scenario.values()) {
        if (matrix.points(scenario).stream().map(InjectionPoint::step).anyMatch(step::equals)) {
          where.append(where.isEmpty() ? "" : ", ").append(scenario.title());
        }
      }
      text.append("| ").append(Steps.title(step)).append(" | ");
      text.append(FaultTable.moments(step)).append(" | ").append(where).append(" |\n");
    }
  }

  private static void failures(StringBuilder text, List<Result> singles, List<Result> pairs) {
    List<Result> failed =
        Stream.concat(singles.stream(), pairs.stream())
            .filter(r -> !r.passed())
            .limit(MAX_FAILURES)
            .toList();
    if (failed.isEmpty()) {
      return;
    }
    text.append("\n## Failed\n\n");
    failed.forEach(
        r -> text.append("- ").append(r.cell()).append(": ").append(r.violations()).append('\n'));
  }
}
