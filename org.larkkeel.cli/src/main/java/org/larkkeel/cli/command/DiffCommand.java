/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.command;

import org.kohsuke.args4j.Option;
import org.larkkeel.cli.errors.ExitCode;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.ConfigurationDocument;
import org.larkkeel.config.Diff;

/** Shows what {@code apply} would change. */
@CommandInfo(
    name = "diff",
    summary =
        "Shows by object and field what apply would change, and exits with 9 if it would change"
            + " anything.",
    example = "larkkeel diff -f first.jsonc")
final class DiffCommand extends Command {
  @Option(
      name = "-f",
      aliases = "--file",
      metaVar = "FILE",
      required = true,
      usage = "the document, JSON with comments; - reads standard input")
  private String file;

  @Option(name = "--prune", usage = "count the objects that the document lacks as deleted")
  private boolean prune;

  @Override
  protected ExitCode run() {
    ConfigurationDocument document = DocumentFile.read(file, environment());
    if (document.problems().hasErrors()) {
      document.problems().all().forEach(problem -> err().println(problem));
      return ExitCode.INVALID;
    }
    Configuration current = client().configuration();
    Diff diff = Diff.between(current, DocumentFile.merge(current, document.configuration(), prune));
    print(diff, () -> DiffPrinter.print(diff, out()));
    return diff.objects().isEmpty() ? ExitCode.OK : ExitCode.DIFFERENT;
  }
}
