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
import org.larkkeel.lib.Revision;

/** Applies a document: adds or replaces its objects in the configuration, as one change. */
@CommandInfo(
    name = "apply",
    summary =
        "Puts the objects of a document into the configuration, as one change. If the document"
            + " names the revision that it was read at, changes since then by others to the same"
            + " objects are a conflict.",
    example = "larkkeel apply -f first.jsonc --reason \"new decode pool\"")
final class ApplyCommand extends ChangeCommand {
  @Option(
      name = "-f",
      aliases = "--file",
      metaVar = "FILE",
      required = true,
      usage = "the document, JSON with comments; - reads standard input")
  private String file;

  @Option(name = "--prune", usage = "delete the objects that the document lacks")
  private boolean prune;

  @Override
  protected ExitCode run() {
    ConfigurationDocument document = DocumentFile.read(file, environment());
    if (document.problems().hasErrors()) {
      return printProblems(document.problems());
    }
    Configuration current = client().configuration();
    Configuration requested = document.configuration();
    Configuration merged = DocumentFile.merge(current, requested, prune);
    Diff diff = Diff.between(current, merged);
    if (!isJson()) {
      DiffPrinter.printSummary(diff, out());
    }
    Revision base =
        requested.revision().equals(Revision.NONE) ? current.revision() : requested.revision();
    return propose(base, diff.operations(merged, prune), document::locate);
  }
}
