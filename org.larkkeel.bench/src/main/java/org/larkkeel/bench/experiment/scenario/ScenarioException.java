/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.scenario;

/**
 * A scenario file is not valid; the message names the field, the value and the remedy.
 *
 * @since 0.1
 */
public final class ScenarioException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message what is wrong and what to write
   */
  public ScenarioException(String message) {
    super(message);
  }
}
