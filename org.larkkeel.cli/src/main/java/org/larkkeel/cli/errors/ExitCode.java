/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.errors;

import org.larkkeel.errors.Slugs;

/**
 * The exit codes of {@code larkkeel}.
 *
 * @since 0.1
 */
public enum ExitCode {
  /** Success. */
  OK(0, "The command did what it says."),
  /** Any other failure. */
  FAILURE(1, "The command failed; the message tells why."),
  /** The command line is invalid. */
  USAGE(2, "An option or argument is missing, unknown or malformed."),
  /** A conflicting change was accepted first. */
  CONFLICT(3, "Another operator's change of the same objects was accepted first."),
  /** A document or change is invalid. */
  INVALID(4, "The document or change has problems; each is listed with its place."),
  /** No server is available. */
  UNREACHABLE(5, "No server could carry the command out; the change may be repeated."),
  /** The token is missing, unknown or lacks the required role. */
  DENIED(6, "The token is missing or unknown, or its role does not allow the command."),
  /** No such object exists. */
  NOT_FOUND(7, "No object has that name or matches that selector."),
  /** The revision is not yet in force on every node. */
  PENDING(8, "The configuration is not in force on every node yet."),
  /** The configurations differ. */
  DIFFERENT(9, "`diff` found differences.");

  private final int code;
  private final String meaning;

  ExitCode(int code, String meaning) {
    this.code = code;
    this.meaning = meaning;
  }

  /**
   * Returns the exit code of the process.
   *
   * @return a number from 0 to 9
   */
  public int code() {
    return code;
  }

  /**
   * Returns the meaning of the code, for help pages.
   *
   * @return one sentence
   */
  public String meaning() {
    return meaning;
  }

  /**
   * Returns the name of the code in help pages.
   *
   * @return the name in lower case with hyphens
   */
  public String slug() {
    return Slugs.of(this);
  }
}
