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
  /** Done. */
  OK(0, "The command did what it says."),
  /** Any other failure. */
  FAILURE(1, "The command failed; the message tells why."),
  /** The command line is wrong. */
  USAGE(2, "An option or argument is missing, unknown or malformed."),
  /** Another change came first. */
  CONFLICT(3, "Another operator's change of the same objects was accepted first."),
  /** A document or change is invalid. */
  INVALID(4, "The document or change has problems; each is listed with its place."),
  /** No server answers. */
  UNREACHABLE(5, "No server could carry the command out; the change may be repeated."),
  /** The token is not enough. */
  DENIED(6, "The token is missing or unknown, or its role does not allow the command."),
  /** There is no such object. */
  NOT_FOUND(7, "No object has that name or matches that selector."),
  /** Not everywhere yet. */
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
   * The code that the process ends with.
   *
   * @return a number from 0 to 9
   */
  public int code() {
    return code;
  }

  /**
   * What the code says.
   *
   * @return one sentence
   */
  public String meaning() {
    return meaning;
  }

  /**
   * The name in documents.
   *
   * @return the name in lower case with hyphens
   */
  public String slug() {
    return Slugs.of(this);
  }
}
