/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;

/**
 * The result of a validation: the valid value, or the problems found.
 *
 * <p>Immutable and safe for use by several threads if the value is.
 *
 * @param <T> the type of the value
 * @since 0.1
 */
public sealed interface Checked<T> {
  /**
   * The value is valid.
   *
   * @param value the value
   * @param warnings problems that the operator should know but that do not prevent use of the value
   * @param <T> the type of the value
   */
  record Valid<T>(T value, Problems warnings) implements Checked<T> {}

  /**
   * The value is invalid.
   *
   * @param problems all problems found, at least one of them an error
   * @param <T> the type of the value
   */
  record Invalid<T>(Problems problems) implements Checked<T> {}

  /**
   * Creates a result from a value and its problems.
   *
   * @param value the value; may be null if there are errors
   * @param problems all problems found
   * @param <T> the type of the value
   * @return the result
   */
  static <T> Checked<T> of(T value, Problems problems) {
    return problems.hasErrors() ? new Invalid<>(problems) : new Valid<>(value, problems);
  }

  /**
   * Returns all problems found.
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
   * Returns the valid value.
   *
   * @return the value
   * @throws LarkkeelException of kind {@link ErrorKind#INVALID_CONFIGURATION} if the value is
   *     invalid
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
