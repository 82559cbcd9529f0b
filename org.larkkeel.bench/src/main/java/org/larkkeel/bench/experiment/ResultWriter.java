/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment;

import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.larkkeel.bench.experiment.scenario.Capacity;
import org.larkkeel.bench.experiment.scenario.Scenario;

/**
 * Writes the result of an experiment as JSON.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class ResultWriter {
  private static final JsonMapper MAPPER =
      JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

  private ResultWriter() {}

  /** The content of the result file; component names are its JSON fields. */
  private record Result(
      String scenario, Capacity capacity, List<SummaryEntry> summaries, List<RunResult> runs) {}

  /** A summary without its runs. */
  private record SummaryEntry(
      String policy,
      double load,
      Summary.Spread goodput,
      Summary.Spread ofBound,
      Summary.Spread boundOfFluid,
      Summary.Spread wasted,
      Summary.Spread busyGap) {
    static SummaryEntry of(Summary s) {
      return new SummaryEntry(
          s.policy(),
          s.load(),
          s.goodput(),
          s.ofBound(),
          s.boundOfFluid(),
          s.wasted(),
          s.busyGap());
    }
  }

  static void write(
      Path folder,
      Scenario scenario,
      Capacity capacity,
      List<Summary> summaries,
      List<RunResult> runs)
      throws IOException {
    Files.createDirectories(folder);
    List<SummaryEntry> lines = summaries.stream().map(SummaryEntry::of).toList();
    Result result = new Result(scenario.name(), capacity, lines, runs);
    MAPPER.writeValue(folder.resolve(scenario.name() + ".json").toFile(), result);
  }
}
