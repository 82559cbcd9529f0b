/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.stream.Collectors;

/**
 * All problems of one document or change, in the order found.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param all the problems, never null
 * @since 0.1
 */
public record Problems(ImmutableList<Problem> all) {
  /** No problems. */
  public static final Problems NONE = new Problems(ImmutableList.of());

  /**
   * Returns whether any problem leads to refusal.
   *
   * @return true if there is an error
   */
  public boolean hasErrors() {
    return all.stream().anyMatch(p -> p.severity() == Severity.ERROR);
  }

  /**
   * Returns these problems followed by those of another check.
   *
   * @param others the other problems
   * @return the problems of both
   */
  public Problems plus(Problems others) {
    return new Problems(ImmutableList.<Problem>builder().addAll(all).addAll(others.all).build());
  }

  /**
   * Returns the problems without those at a path that already has a problem, since they may only be
   * consequences of it.
   *
   * @param others problems of an earlier check
   * @return the problems whose path none of {@code others} has
   */
  public Problems without(Problems others) {
    ImmutableSet<JsonPath> paths =
        others.all.stream().map(Problem::path).collect(ImmutableSet.toImmutableSet());
    return new Problems(
        all.stream()
            .filter(p -> !paths.contains(p.path()))
            .collect(ImmutableList.toImmutableList()));
  }

  @Override
  public String toString() {
    return all.stream().map(Problem::toString).collect(Collectors.joining("\n"));
  }
}
