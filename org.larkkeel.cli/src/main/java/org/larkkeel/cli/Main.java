/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli;

import java.util.List;
import org.larkkeel.cli.command.Environment;
import org.larkkeel.cli.errors.ExitCode;

/**
 * The program {@code larkkeel}.
 *
 * @since 0.1
 */
public final class Main {
  private static final String LOGGING_PROPERTY = "logback.configurationFile";
  private static final String LOGGING_RESOURCE = "org/larkkeel/cli/logback.xml";

  private Main() {}

  /**
   * Runs one command and ends the process with its exit code.
   *
   * @param arguments the command line
   */
  public static void main(String[] arguments) {
    System.setProperty(LOGGING_PROPERTY, LOGGING_RESOURCE);
    Environment environment = new Environment(System.in, System.out, System.err, System::getenv);
    ExitCode code = new Cli(environment).run(List.of(arguments));
    System.out.flush();
    System.exit(code.code());
  }
}
