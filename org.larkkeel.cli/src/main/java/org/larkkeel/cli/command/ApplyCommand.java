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

/** Puts the objects of a document into the configuration. */
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
      return refused(document.problems());
    }
    Configuration present = client().configuration();
    Configuration wanted = document.configuration();
    Configuration merged = DocumentFile.merge(present, wanted, prune);
    Diff diff = Diff.between(present, merged);
    if (!isJson()) {
      DiffPrinter.printBriefly(diff, out());
    }
    Revision base =
        wanted.revision().equals(Revision.NONE) ? present.revision() : wanted.revision();
    return propose(base, diff.operations(merged, prune), document::locate);
  }
}
