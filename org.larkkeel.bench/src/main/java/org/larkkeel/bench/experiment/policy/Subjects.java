/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.policy;

import com.google.common.collect.ImmutableList;

/**
 * Makes the policies by name.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class Subjects {
  /** Baseline: a random upstream, no reservation, blind retries. */
  public static final String NAIVE_RANDOM = "naive-random";

  /** Baseline: the upstream with the fewest requests, no reservation, blind retries. */
  public static final String NAIVE_LEAST = "naive-least-outstanding";

  private Subjects() {}

  /**
   * The names of all policies.
   *
   * @return the names
   */
  public static ImmutableList<String> names() {
    return ImmutableList.of(NAIVE_RANDOM, NAIVE_LEAST);
  }

  /**
   * Makes a router.
   *
   * @param name one of {@link #names}
   * @param seed the seed of its choices
   * @return a fresh router
   */
  public static Subject create(String name, long seed) {
    return switch (name) {
      case NAIVE_RANDOM -> new NaiveRouter(Choice.RANDOM, seed);
      case NAIVE_LEAST -> new NaiveRouter(Choice.LEAST_OUTSTANDING, seed);
      default -> throw new IllegalArgumentException("policy is \"" + name + "\": use " + names());
    };
  }
}
