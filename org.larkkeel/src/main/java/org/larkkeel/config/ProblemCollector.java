/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import com.google.common.collect.ImmutableList;

/**
 * Collects the problems of one source.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class ProblemCollector {
  private final String source;
  private final Severity unknownKeySeverity;
  private final ImmutableList.Builder<Problem> problems = ImmutableList.builder();

  /**
   * Creates a collector without problems.
   *
   * @param source the file or other origin
   * @param unknownKeySeverity the severity of an unknown key
   */
  public ProblemCollector(String source, Severity unknownKeySeverity) {
    this.source = source;
    this.unknownKeySeverity = unknownKeySeverity;
  }

  String source() {
    return source;
  }

  void addUnknownKey(Position position, JsonPath path, String remedy) {
    problems.add(
        new Problem(unknownKeySeverity, source, position, path, "", "the key is unknown", remedy));
  }

  /** Adds an error; {@link Problem} describes the parameters. */
  public void addError(
      Position position, JsonPath path, String value, String message, String remedy) {
    problems.add(Problem.error(path, value, message, remedy).at(source, position));
  }

  /**
   * Returns the problems collected so far.
   *
   * @return the problems in the order of addition, never null
   */
  public Problems build() {
    return new Problems(problems.build());
  }
}
