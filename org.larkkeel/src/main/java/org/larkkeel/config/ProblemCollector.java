/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import com.google.common.collect.ImmutableList;

/**
 * Gathers the problems of one source.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class ProblemCollector {
  private final String source;
  private final Severity unknownKeys;
  private final ImmutableList.Builder<Problem> problems = ImmutableList.builder();

  /**
   * Creates a collector without problems.
   *
   * @param source the file or other origin
   * @param unknownKeys how grave an unknown key is
   */
  public ProblemCollector(String source, Severity unknownKeys) {
    this.source = source;
    this.unknownKeys = unknownKeys;
  }

  String source() {
    return source;
  }

  void unknownKey(Position at, JsonPath path, String remedy) {
    problems.add(new Problem(unknownKeys, source, at, path, "", "the key is unknown", remedy));
  }

  /** Adds an error with what is wrong and what to do. */
  public void error(Position at, JsonPath path, String value, String message, String remedy) {
    problems.add(Problem.error(path, value, message, remedy).at(source, at));
  }

  /**
   * What was gathered.
   *
   * @return the problems, never null
   */
  public Problems build() {
    return new Problems(problems.build());
  }
}
