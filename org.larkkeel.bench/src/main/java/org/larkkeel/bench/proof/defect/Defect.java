/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.defect;

import com.google.common.collect.ImmutableList;

/**
 * A defect that is planted into a copy of the sources to check that the fault matrix detects it.
 *
 * @param title a short description of the defect
 * @param patches the changes to the sources, applied in order
 * @since 0.1
 */
record Defect(String title, ImmutableList<Patch> patches) {
  /**
   * A replacement of a piece of text that must occur exactly once in a file.
   *
   * @param file the path of the file, relative to the root of the project
   * @param find the text to replace
   * @param replacement the new text
   */
  record Patch(String file, String find, String replacement) {}

  static Defect of(String title, Patch... patches) {
    return new Defect(title, ImmutableList.copyOf(patches));
  }
}
