/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.errors;

import java.util.Locale;

/**
 * Converts enum constants to the names used in logs, problem types and metrics.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class Slugs {
  private Slugs() {}

  /**
   * Returns the name of a constant as used outside the process.
   *
   * @param constant the constant, never null
   * @return the constant's name in lower case, with hyphens instead of underscores
   */
  public static String of(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
