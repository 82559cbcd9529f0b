/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.command;

import org.kohsuke.args4j.Argument;
import org.larkkeel.cli.errors.ExitCode;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.ConfigurationObject;
import org.larkkeel.config.ConfigurationObjects;
import org.larkkeel.config.ObjectKind;

/** Lists names for the completion of a shell. */
@CommandInfo(
    name = "complete",
    summary =
        "Lists names that begin with a prefix, one a line, for the completion of a shell: commands,"
            + " or objects of a kind.",
    example = "larkkeel complete upstreams tel")
final class CompleteCommand extends Command {
  private static final String COMMANDS = "commands";
  private static final String KINDS = "kinds";

  @Argument(
      index = 0,
      metaVar = "WHAT",
      required = true,
      usage = "commands, kinds, upstreams, pools, rules or workspaces")
  private String what;

  @Argument(index = 1, metaVar = "PREFIX", usage = "what the names begin with")
  private String prefix = "";

  @Override
  protected ExitCode run() {
    switch (what) {
      case COMMANDS -> CommandCatalog.names().forEach(this::printIfPrefixMatches);
      case KINDS -> {
        for (ObjectKind kind : ObjectKind.values()) {
          printIfPrefixMatches(kind.section());
        }
      }
      default -> printObjectNames(Arguments.parseKind(what));
    }
    return ExitCode.OK;
  }

  private void printObjectNames(ObjectKind kind) {
    Configuration current = client().configuration();
    for (ConfigurationObject object : ConfigurationObjects.ofKind(current, kind)) {
      printIfPrefixMatches(object.id().name());
    }
  }

  private void printIfPrefixMatches(String name) {
    if (name.startsWith(prefix)) {
      out().println(name);
    }
  }
}
