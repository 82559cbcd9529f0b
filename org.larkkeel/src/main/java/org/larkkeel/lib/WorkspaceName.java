/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.lib;

/**
 * The name of a workspace.
 *
 * <p>Invariant: a valid label-style name, see {@link Names}. Immutable and safe for use by several
 * threads.
 *
 * @param value the text, never null
 * @since 0.1
 */
public record WorkspaceName(String value) implements Comparable<WorkspaceName> {

  /**
   * Validates the name.
   *
   * @throws IllegalArgumentException if the name is not valid
   */
  public WorkspaceName {
    Names.check("a workspace", value);
  }

  @Override
  public int compareTo(WorkspaceName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
