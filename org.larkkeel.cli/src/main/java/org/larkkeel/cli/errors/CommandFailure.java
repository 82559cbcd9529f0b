/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.errors;

/**
 * Thrown to end a command with an exit code and a message for the operator.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public final class CommandFailure extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;

  /**
   * Creates a failure.
   *
   * @param exitCode the exit code, not {@link ExitCode#OK}
   * @param message what failed and what to do
   */
  public CommandFailure(ExitCode exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  /**
   * Returns the exit code.
   *
   * @return the code, never null
   */
  public ExitCode exitCode() {
    return exitCode;
  }
}
