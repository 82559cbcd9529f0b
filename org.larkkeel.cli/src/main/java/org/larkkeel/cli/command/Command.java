/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.command;

import java.io.PrintStream;
import org.kohsuke.args4j.Option;
import org.larkkeel.cli.client.OperatorClient;
import org.larkkeel.cli.errors.ExitCode;
import org.larkkeel.cli.output.OutputFormat;
import org.larkkeel.http.operator.OperatorCodec;

/**
 * A subcommand. The parser sets its fields through args4j, then {@link #execute} runs it once.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public abstract class Command {
  private final ConnectionOptions connection = new ConnectionOptions();

  @Option(
      name = "-o",
      aliases = "--output",
      metaVar = "table|json",
      usage = "the form of the output; table by default")
  private OutputFormat format = OutputFormat.TABLE;

  @Option(name = "-h", aliases = "--help", help = true, usage = "print this help")
  private boolean help;

  private Environment environment;
  private OperatorClient client;

  /** Creates a command with the defaults of its options. */
  protected Command() {}

  /**
   * Returns the name and help texts of the command.
   *
   * @return the annotation of the class
   */
  public final CommandInfo info() {
    return getClass().getAnnotation(CommandInfo.class);
  }

  /**
   * Returns whether help is requested.
   *
   * @return true if the command is not to be run
   */
  public final boolean isHelp() {
    return help;
  }

  /**
   * Runs the command.
   *
   * @param newEnvironment the standard streams and environment variables
   * @return the exit code
   * @throws org.larkkeel.cli.errors.CommandFailure if it fails
   */
  public final ExitCode execute(Environment newEnvironment) {
    environment = newEnvironment;
    try {
      return run();
    } finally {
      if (client != null) {
        client.close();
      }
    }
  }

  /**
   * Runs the command after {@link #execute} has set the environment.
   *
   * @return the exit code
   */
  protected abstract ExitCode run();

  final ConnectionOptions connection() {
    return connection;
  }

  final Environment environment() {
    return environment;
  }

  final PrintStream out() {
    return environment.out();
  }

  final PrintStream err() {
    return environment.err();
  }

  final boolean isJson() {
    return format == OutputFormat.JSON;
  }

  /** Returns the client for the connection options, created on the first call. */
  final OperatorClient client() {
    if (client == null) {
      client = new OperatorClient(connection.settings(environment));
    }
    return client;
  }

  /** Prints a body as JSON if requested, or else calls the printer of its text form. */
  final void print(Object body, Runnable tablePrinter) {
    if (isJson()) {
      out().println(OperatorCodec.writePretty(body));
    } else {
      tablePrinter.run();
    }
  }
}
