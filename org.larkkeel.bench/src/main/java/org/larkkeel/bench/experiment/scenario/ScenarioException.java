/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.scenario;

/**
 * Thrown for a scenario or option that is not valid; the message names field, value and remedy.
 *
 * @since 0.1
 */
public final class ScenarioException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message the invalid field with its value, and the remedy
   */
  public ScenarioException(String message) {
    super(message);
  }
}
