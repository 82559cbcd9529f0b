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
 * A subcommand; args4j fills its fields, then {@link #execute} runs it once.
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

  /** For subclasses. */
  protected Command() {}

  /**
   * The name and summary.
   *
   * @return the annotation of the class
   */
  public final CommandInfo info() {
    return getClass().getAnnotation(CommandInfo.class);
  }

  /**
   * Tells whether help is asked for.
   *
   * @return true if the command is not to be run
   */
  public final boolean isHelp() {
    return help;
  }

  /**
   * Runs the command.
   *
   * @param newEnvironment streams and variables
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
   * Does the work.
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

  /** The client, connected as the options say. */
  final OperatorClient client() {
    if (client == null) {
      client = new OperatorClient(connection.settings(environment));
    }
    return client;
  }

  /** Prints a body as JSON, or else calls what prints it for people. */
  final void print(Object body, Runnable table) {
    if (isJson()) {
      out().println(OperatorCodec.writePretty(body));
    } else {
      table.run();
    }
  }
}
