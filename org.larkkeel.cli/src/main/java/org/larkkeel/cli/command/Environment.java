/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.command;

import java.io.InputStream;
import java.io.PrintStream;
import java.util.Optional;
import java.util.function.UnaryOperator;

/**
 * The environment of a command: standard streams and environment variables.
 *
 * <p>As safe for use by several threads as the streams are.
 *
 * @param in standard input
 * @param out standard output, for results
 * @param err standard error, for messages
 * @param variables returns the value of an environment variable, or null if it is not set
 * @since 0.1
 */
public record Environment(
    InputStream in, PrintStream out, PrintStream err, UnaryOperator<String> variables) {
  /** The variable that names the servers, separated by commas. */
  public static final String SERVER_VARIABLE = "LARKKEEL_SERVER";

  /** The variable that names the file with the token. */
  public static final String TOKEN_FILE_VARIABLE = "LARKKEEL_TOKEN_FILE";

  /** The variable that names the file with the certificates of trusted authorities. */
  public static final String CA_FILE_VARIABLE = "LARKKEEL_CA_FILE";

  Optional<String> variable(String name) {
    return Optional.ofNullable(variables.apply(name)).filter(value -> !value.isBlank());
  }
}
