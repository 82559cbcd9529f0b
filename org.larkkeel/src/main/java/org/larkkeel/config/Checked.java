/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;

/**
 * The outcome of a check: a value, or what is wrong with it.
 *
 * <p>Immutable and safe for use by several threads if the value is.
 *
 * @param <T> the type of the value
 * @since 0.1
 */
public sealed interface Checked<T> {
  /**
   * The value passed.
   *
   * @param value the value
   * @param warnings what the operator should know
   * @param <T> the type of the value
   */
  record Valid<T>(T value, Problems warnings) implements Checked<T> {}

  /**
   * The value is refused.
   *
   * @param problems every problem, at least one of them an error
   * @param <T> the type of the value
   */
  record Invalid<T>(Problems problems) implements Checked<T> {}

  /**
   * Makes an outcome from a value and its problems.
   *
   * @param value the value; may be null if there are errors
   * @param problems every problem found
   * @param <T> the type of the value
   * @return the outcome
   */
  static <T> Checked<T> of(T value, Problems problems) {
    return problems.hasErrors() ? new Invalid<>(problems) : new Valid<>(value, problems);
  }

  /**
   * Every problem found.
   *
   * @return errors and warnings
   */
  default Problems problems() {
    return switch (this) {
      case Valid<T> valid -> valid.warnings();
      case Invalid<T> invalid -> invalid.problems();
    };
  }

  /**
   * The value, if it passed.
   *
   * @return the value
   * @throws LarkkeelException of kind {@link ErrorKind#INVALID_CONFIGURATION} if it is refused
   */
  default T orThrow() {
    return switch (this) {
      case Valid<T> valid -> valid.value();
      case Invalid<T> invalid ->
          throw new LarkkeelException(
              ErrorKind.INVALID_CONFIGURATION, invalid.problems().toString());
    };
  }
}
