/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.output;

import java.util.stream.Collectors;
import org.larkkeel.lib.Labels;

/**
 * Formats labels for a cell of a table.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class LabelText {
  private LabelText() {}

  /**
   * Formats labels.
   *
   * @param labels the labels
   * @return each label as {@code key=value}, joined by commas
   */
  public static String of(Labels labels) {
    return labels.entries().entrySet().stream()
        .map(e -> e.getKey() + "=" + e.getValue())
        .collect(Collectors.joining(","));
  }
}
