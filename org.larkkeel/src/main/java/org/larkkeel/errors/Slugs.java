/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.errors;

import java.util.Locale;

/**
 * Names of enum constants as they appear in logs, problem types and metrics.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class Slugs {
  private Slugs() {}

  /**
   * Converts a constant's name.
   *
   * @param constant the constant, never null
   * @return the name in lower case, with hyphens
   */
  public static String of(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
