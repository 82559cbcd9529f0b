/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.output;

import java.util.stream.Collectors;
import org.larkkeel.lib.Labels;

/**
 * Writes labels in one cell.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class LabelText {
  private LabelText() {}

  /**
   * Writes labels.
   *
   * @param labels the labels
   * @return {@code key=value} joined by commas
   */
  public static String of(Labels labels) {
    return labels.entries().entrySet().stream()
        .map(e -> e.getKey() + "=" + e.getValue())
        .collect(Collectors.joining(","));
  }
}
