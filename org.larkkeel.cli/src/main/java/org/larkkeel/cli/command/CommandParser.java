/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.command;

import java.util.List;
import org.kohsuke.args4j.ClassParser;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;
import org.larkkeel.cli.errors.CommandFailure;
import org.larkkeel.cli.errors.ExitCode;
import org.larkkeel.cli.errors.Messages;

/**
 * Parses arguments into the fields of a command.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class CommandParser {
  private static final int USAGE_WIDTH = 100;

  private CommandParser() {}

  /**
   * Parses arguments.
   *
   * @param command the command whose fields are set
   * @param arguments the arguments after the name of the command
   * @throws CommandFailure of {@link ExitCode#USAGE} if an argument is missing, unknown or
   *     malformed
   */
  public static void parse(Command command, List<String> arguments) {
    try {
      parser(command).parseArgument(arguments);
    } catch (CmdLineException e) {
      throw new CommandFailure(
          ExitCode.USAGE, Messages.WRONG_USAGE.formatted(e.getMessage(), command.info().name()));
    }
  }

  static CmdLineParser parser(Command command) {
    ParserProperties properties =
        ParserProperties.defaults()
            .withUsageWidth(USAGE_WIDTH)
            .withShowDefaults(false)
            .withOptionSorter(null);
    CmdLineParser parser = new CmdLineParser(command, properties);
    new ClassParser().parse(command.connection(), parser);
    return parser;
  }
}
