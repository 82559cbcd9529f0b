/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.command;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.larkkeel.cli.errors.ExitCode;

/** Prints help. */
@CommandInfo(
    name = "help",
    summary = "Lists the commands, or tells about one.",
    example = "larkkeel help apply")
final class HelpCommand extends Command {
  @Argument(index = 0, metaVar = "COMMAND", usage = "the command to tell about")
  private String command;

  @Option(name = "--markdown", usage = "print the reference of all commands in Markdown")
  private boolean markdown;

  @Override
  protected ExitCode run() {
    if (markdown) {
      out().print(HelpPages.reference());
    } else if (command == null) {
      out().print(HelpPages.overview());
    } else {
      out().print(HelpPages.of(CommandCatalog.create(command)));
    }
    return ExitCode.OK;
  }
}
