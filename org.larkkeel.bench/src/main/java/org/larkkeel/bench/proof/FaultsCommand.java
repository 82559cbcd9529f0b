/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.larkkeel.bench.proof.Matrix.Result;
import org.larkkeel.bench.proof.defect.DefectRunner;

/**
 * The command {@code ./faults}: runs the fault matrix, or with {@code --defects} the planted
 * defects, and writes the results page.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class FaultsCommand {
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 64;

  @Option(name = "--help", help = true, usage = "print this help")
  private boolean help;

  @Option(name = "--pairs", metaVar = "N", usage = "cells with two faults to sample")
  private int pairs = 2_000;

  @Option(name = "--threads", metaVar = "N", usage = "cells that run at once")
  private int threads = 4;

  @Option(name = "--page", metaVar = "FILE", usage = "where the results are written")
  private Path page = Path.of("docs", "FAULTS.md");

  @Option(name = "--defects", usage = "plant defects instead; each has to be caught")
  private boolean defects;

  @Option(name = "--sources", metaVar = "FOLDER", usage = "the root of the sources of all modules")
  private Path sources = Path.of("");

  private FaultsCommand() {}

  /**
   * Runs the command.
   *
   * @param args the arguments, see {@code --help}
   * @throws IOException if the page can't be written or a source can't be read
   */
  public static void main(String[] args) throws IOException {
    System.exit(new FaultsCommand().run(args, System.out, System.err));
  }

  private int run(String[] args, PrintStream out, PrintStream err) throws IOException {
    CmdLineParser parser = new CmdLineParser(this);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      err.println("faults: " + e.getMessage());
      parser.printUsage(err);
      return EXIT_USAGE;
    }
    if (help) {
      out.println("Usage: ./faults [options]");
      out.println("Injects every fault at every step, checks the promises and writes the page.");
      parser.printUsage(out);
      return 0;
    }
    return defects ? runDefects(out) : runMatrix(out);
  }

  private int runDefects(PrintStream out) throws IOException {
    List<DefectRunner.Outcome> outcomes =
        new DefectRunner(sources)
            .run(
                o ->
                    out.println(
                        "defect=\""
                            + o.title()
                            + "\" caught_by=\""
                            + o.caughtBy().orElse("")
                            + '"'));
    new FaultsPage(page).writeDefects(outcomes);
    long survived = outcomes.stream().filter(o -> o.caughtBy().isEmpty()).count();
    out.println("defects=" + outcomes.size() + " survived=" + survived);
    return survived == 0 ? 0 : EXIT_FAILED;
  }

  private int runMatrix(PrintStream out) throws IOException {
    Matrix matrix = new Matrix(Matrix.SEED);
    MatrixRunner runner = new MatrixRunner(matrix, threads);
    List<Result> singles = runner.run(matrix.singles());
    List<Result> doubles = runner.run(matrix.pairs(pairs));
    new FaultsPage(page).writeMatrix(matrix, singles, doubles);
    long failed = report(out, "single", singles) + report(out, "pair", doubles);
    return failed == 0 ? 0 : EXIT_FAILED;
  }

  private static long report(PrintStream out, String kind, List<Result> results) {
    ImmutableList<Result> failed =
        results.stream().filter(r -> !r.passed()).collect(ImmutableList.toImmutableList());
    failed.forEach(r -> out.println("failed=\"" + r.cell() + "\" because=" + r.violations()));
    out.println("kind=" + kind + " cells=" + results.size() + " failed=" + failed.size());
    return failed.size();
  }
}
