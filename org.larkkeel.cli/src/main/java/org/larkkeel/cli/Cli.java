/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli;

import java.util.List;
import org.larkkeel.cli.command.Command;
import org.larkkeel.cli.command.CommandCatalog;
import org.larkkeel.cli.command.CommandParser;
import org.larkkeel.cli.command.Environment;
import org.larkkeel.cli.command.HelpPages;
import org.larkkeel.cli.errors.CommandFailure;
import org.larkkeel.cli.errors.ExitCode;
import org.larkkeel.cli.errors.Messages;

/**
 * Runs command lines of {@code larkkeel}: finds the command, parses its arguments, executes it and
 * prints its failure.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Cli {
  private static final List<String> HELP_OPTIONS = List.of("-h", "--help");

  private final Environment environment;

  /**
   * Creates a runner.
   *
   * @param environment the standard streams and environment variables
   */
  public Cli(Environment environment) {
    this.environment = environment;
  }

  /**
   * Runs a command.
   *
   * @param arguments the name of the command and its arguments
   * @return the exit code
   */
  public ExitCode run(List<String> arguments) {
    try {
      return dispatch(arguments);
    } catch (CommandFailure e) {
      environment.err().println(Messages.PROGRAM + ": " + e.getMessage());
      return e.exitCode();
    }
  }

  private ExitCode dispatch(List<String> arguments) {
    if (arguments.isEmpty()) {
      environment.err().print(HelpPages.overview());
      return ExitCode.USAGE;
    }
    if (HELP_OPTIONS.contains(arguments.getFirst())) {
      environment.out().print(HelpPages.overview());
      return ExitCode.OK;
    }
    Command command = CommandCatalog.create(arguments.getFirst());
    CommandParser.parse(command, arguments.subList(1, arguments.size()));
    if (command.isHelp()) {
      environment.out().print(HelpPages.of(CommandCatalog.create(arguments.getFirst())));
      return ExitCode.OK;
    }
    return command.execute(environment);
  }
}
