/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.defect;

import com.google.common.collect.ImmutableList;

/**
 * A defect that is planted into a copy of the sources.
 *
 * @param title what is wrong
 * @param patches the changes of the sources
 * @since 0.1
 */
record Defect(String title, ImmutableList<Patch> patches) {
  /**
   * Replaces a text that must occur exactly once in a file.
   *
   * @param file the file, from the root of the project
   * @param find the text
   * @param replacement the new text
   */
  record Patch(String file, String find, String replacement) {}

  static Defect of(String title, Patch... patches) {
    return new Defect(title, ImmutableList.copyOf(patches));
  }
}
